/** One simulated engine. */
export interface SimulatedEngine {
  readonly id: string
  /** Duration of its work relative to the usual one, with a number of requests in progress of all hosts. */
  readonly computeFactor: (nowMs: number, inProgress: number) => number
}
