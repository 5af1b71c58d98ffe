/** Upstream that was chosen for one attempt. */
export interface UpstreamChoice {
  readonly upstreamId: string
  /** Predicted time to completion in milliseconds. */
  readonly predictedMs: number
  /** Delay in milliseconds after which a hedge (a second, parallel attempt) may be sent; absent if the work may not be hedged. */
  readonly hedgeAfterMs?: number
}
