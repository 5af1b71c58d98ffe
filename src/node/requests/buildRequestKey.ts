/** Key of a request in registries and directories. Account names and ids contain no line breaks. */
export function buildRequestKey (account: string, requestId: string): string {
  return `${account}\n${requestId}`
}
