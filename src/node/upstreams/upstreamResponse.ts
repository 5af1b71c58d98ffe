/** Response to an HTTP call to an upstream. */
export interface UpstreamResponse {
  readonly status: number
  readonly body: string
  /** True when the upstream marked itself as leaving. */
  readonly leaving: boolean
}
