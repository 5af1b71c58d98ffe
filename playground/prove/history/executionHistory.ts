/** One execution at an upstream, from the upstream's execution log. Times are milliseconds since the epoch. */
export interface ExecutionHistory {
  readonly upstreamId: string
  readonly account: string
  readonly requestId: string
  readonly stage: string
  readonly startMs: number
}
