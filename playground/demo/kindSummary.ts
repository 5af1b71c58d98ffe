/** Results of all requests of one kind. Outcomes are those of `RequestRecord`; latencies are those of whole answers. */
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
  /** Share of the sent requests that got a whole answer within the latency objective. */
  readonly attainment: number
  /** Highest attainment in the objectives of the contracts for this kind. */
  readonly promisedAttainment: number
}
