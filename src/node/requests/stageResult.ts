/** Accepted result of a stage. */
export interface StageResult {
  /** Undefined for a generation, whose tokens were handed on as they came. */
  readonly output: unknown
  readonly upstreamId: string
  readonly elapsedMs: number
}
