/** Statuses that say that the request was not run and will not be. */
const notRunStatuses: readonly number[] = [400, 401, 404, 413, 429, 503]

/** Body of an answer that this system makes itself. */
export function buildErrorBody (code: string, message: string, status: number): string {
  return JSON.stringify({ error: { code, message, ran: notRunStatuses.includes(status) ? 'not_run' : 'unknown' } })
}
