/** Requests of one account and kind in a workload. */
export interface WorkloadEntry {
  readonly account: string
  readonly kind: string
  /** Share of the load, relative to the weights of the other entries. */
  readonly weight: number
  /** Minimum and maximum number of generated tokens, for kinds with a generate stage. */
  readonly tokens?: readonly number[]
  /** Length in characters of the context that is sent with each of these requests. */
  readonly contextChars?: number
  /** Time after which the caller abandons and cancels the request. */
  readonly abandonAfterMs?: number
}
