/** Outcomes of one group of requests. */
export interface KindSummary {
  readonly name: string
  /** Number of requests. */
  readonly asked: number
  readonly onTime: number
  readonly late: number
  readonly refused: number
  readonly failed: number
  /** Credit earned, relative to the credit of all requests if they were on time. */
  readonly credit: number
  readonly medianFirstEventMs: number
  readonly p95FirstEventMs: number
}
