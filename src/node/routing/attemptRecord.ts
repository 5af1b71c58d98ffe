/** An attempt in flight at one upstream. */
export interface AttemptRecord {
  readonly sentMs: number
  readonly cost: number
  readonly long: boolean
  /** Latency predicted when the attempt was sent, and the part of it that is spent waiting. */
  readonly predictedMs: number
  readonly predictedWaitMs: number
  /** Taken from the repeat budget. */
  readonly budgetTakenMs: number
  firstTokenMs: number
  firstTokenCount: number
  lastSampleMs: number
  lastSampleTokens: number
  tokens: number
}
