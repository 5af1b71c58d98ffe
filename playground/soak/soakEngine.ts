/** An engine of a soak test, for as long as requests may be sent to it. */
export interface SoakEngine {
  readonly version: string
  readonly startedAtMs: number
  /** Infinite when it serves to the end of the run. */
  readonly leavesAtMs: number
}
