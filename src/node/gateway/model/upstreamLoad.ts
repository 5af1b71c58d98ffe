/** Load that an upstream states in its answers. */
export interface UpstreamLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Duration of work relative to the usual one; 1 is usual. */
  readonly slowdown: number
}
