/** A parsed request of the administration API; the operator's token has been checked. */
export interface AdminRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  /** Path without the query, percent-encoded, e.g. `/admin/v1/contracts/pier`. */
  readonly path: string
  readonly query: Readonly<Record<string, string>>
  /** Value of the `If-Match` header. */
  readonly ifMatch?: string
  /** Parsed JSON body. */
  readonly body?: unknown
  /** Name of the operator, as the token identifies it. */
  readonly operator: string
  /** Aborts when the connection closes. */
  readonly signal: AbortSignal
}
