/** Results of all requests of one kind. Latencies are of whole answers, in milliseconds. */
export interface KindSummary {
  readonly kind: string
  readonly sent: number
  readonly whole: number
  readonly wrong: number
  readonly refused: number
  readonly abandoned: number
  readonly failed: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Share of the sent requests that were answered whole within the objective's latency. */
  readonly attainment: number
  /** Attainment that the contracts promise. */
  readonly promisedAttainment: number
}
