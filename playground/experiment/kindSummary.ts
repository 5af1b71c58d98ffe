/** Outcomes of one group of requests. */
export interface KindSummary {
  readonly name: string
  readonly asked: number
  readonly onTime: number
  readonly late: number
  readonly refused: number
  readonly failed: number
  /** Credit earned of the credit asked for. */
  readonly credit: number
  readonly medianFirstEventMs: number
  readonly p95FirstEventMs: number
}
