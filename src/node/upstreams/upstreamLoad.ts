/** Load of an upstream as it reports it. */
export interface UpstreamLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  readonly kvUsed: number
  readonly models?: readonly string[]
  readonly atMs: number
}
