/** Response of the administration API: one JSON value, or a stream of values sent as NDJSON. */
export interface AdminResponse {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  readonly body: { readonly type: 'json', readonly value: unknown } | { readonly type: 'lines', readonly lines: AsyncIterable<unknown> }
}
