/** An authenticated call to the administration API. */
export interface AdminRequest {
  readonly method: string
  /** Path with its `/admin/v1` prefix and without the query. */
  readonly path: string
  /** Header names are in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly query: Readonly<Record<string, string>>
  /** Parsed JSON; undefined when the call has no body. */
  readonly body: unknown
}
