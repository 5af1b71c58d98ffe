/** How one request of a trace ended. */
export interface RequestResult {
  readonly id: string
  readonly kind: string
  readonly account: string
  readonly atMs: number
  /** Time that the caller waited. */
  readonly elapsedMs: number
  readonly outcome: 'attained' | 'late' | 'failed' | 'refused'
  readonly reason?: string
}
