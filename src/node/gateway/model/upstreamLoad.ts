/** Load that an upstream reports in its responses. */
export interface UpstreamLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Duration of work relative to the usual duration; 1 is usual. */
  readonly slowdown: number
}
