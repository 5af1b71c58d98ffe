/**
 * Builds the key of a request in registries and directories. It is unambiguous because account names and ids contain
 * no line breaks.
 */
export function buildRequestKey (account: string, requestId: string): string {
  return `${account}\n${requestId}`
}
