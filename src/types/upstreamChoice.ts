/** Result of routing one attempt. */
export interface UpstreamChoice {
  readonly upstreamId: string
  /** Predicted time to completion in milliseconds. */
  readonly predictedMs: number
  /** Delay after which a hedge may be sent, in milliseconds; absent when the work may not be hedged. */
  readonly hedgeAfterMs?: number
}
