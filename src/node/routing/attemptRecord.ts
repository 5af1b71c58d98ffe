/** An attempt in flight at one upstream. */
export interface AttemptRecord {
  readonly sentMs: number
  readonly cost: number
  readonly long: boolean
  /** Latency predicted when the attempt was sent, and the part of it that is spent waiting. */
  readonly predictedMs: number
  readonly waitMs: number
  /** Taken from the repeat budget. */
  readonly takenMs: number
  firstMs: number
  firstTokens: number
  sampledMs: number
  sampledTokens: number
  tokens: number
}
