/** Result of a completed stage. */
export interface StageResult {
  /** Undefined for a generation, whose tokens were already passed to `onTokens`. */
  readonly output: unknown
  readonly upstreamId: string
  readonly elapsedMs: number
}
