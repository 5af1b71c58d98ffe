/** Monotonic times of a planned stop. */
export interface StopTimes {
  /** Requests that are still unfinished get their final response. */
  readonly endAtMs: number
  /** The stop is over, whatever it still waits for, and the process ends. */
  readonly exitAtMs: number
}
