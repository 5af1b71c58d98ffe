/** Answer of the administration API. */
export interface AdminResponse {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  /**
   * A JSON value, or an async iterable of JSON values that is sent as NDJSON. A string is sent as it is
   * when the headers name a content type other than JSON.
   */
  readonly body: unknown
}
