/** Statuses of error responses to requests that were not run and will not be. */
const notRunStatuses: readonly number[] = [400, 401, 404, 408, 413, 429, 431, 503]

/** Builds the body of an error response that the gateway generates itself. */
export function buildErrorBody (code: string, message: string, status: number): string {
  return JSON.stringify({ error: { code, message, ran: notRunStatuses.includes(status) ? 'not_run' : 'unknown' } })
}
