/** Schedules delayed calls; tests replace it to run code under a virtual clock. */
export interface Scheduler {
  /** Calls `run` once after `delayMs`; the returned function cancels it. */
  schedule (delayMs: number, run: () => void): () => void
}
