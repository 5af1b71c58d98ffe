/** Results at one upstream that are no longer needed. */
export interface StageRelease {
  readonly service: string
  readonly upstreamId: string
  readonly handles: readonly string[]
  /** Approximate size of the results. */
  readonly bytes: number
}
