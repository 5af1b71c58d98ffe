/** An upstream that runs at `1 / factor` of its usual speed for a while. */
export interface SlowInterval {
  readonly runnerIndex: number
  readonly startMs: number
  readonly endMs: number
  readonly factor: number
}
