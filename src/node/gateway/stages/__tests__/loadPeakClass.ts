/** Requests of one kind in a load peak. */
export interface LoadPeakClass {
  readonly name: string
  readonly priority: number
  readonly requestsPerSecond: number
  readonly targetMs: number
  readonly deadlineMs: number
  /** Services of its chain of stages, with the fewest and the most pieces. */
  readonly stages: ReadonlyArray<{ readonly service: string, readonly pieces: readonly [number, number] }>
}
