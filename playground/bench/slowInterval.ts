/** An interval in which a runner works at `1 / factor` of its usual speed. */
export interface SlowInterval {
  readonly runnerIndex: number
  readonly startMs: number
  readonly endMs: number
  readonly factor: number
}
