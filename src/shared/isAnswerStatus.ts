/** Whether a number is a status of HTTP: RFC 9110, section 15 has none outside 100 to 599. */
export function isAnswerStatus (status: number): boolean {
  return Number.isInteger(status) && status >= 100 && status <= 599
}
