/** Source of delayed calls, so that drivers run under a virtual clock in tests. */
export interface Scheduler {
  /** Calls `run` once after `delayMs`; the returned function cancels it. */
  schedule (delayMs: number, run: () => void): () => void
}
