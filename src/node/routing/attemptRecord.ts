/** State of an attempt in flight at one upstream. */
export interface AttemptRecord {
  readonly sentMs: number
  readonly cost: number
  /** Whether the work is long by `longWorkMs`. */
  readonly long: boolean
  /** Latency predicted when the attempt was sent, including `predictedWaitMs` of queueing. */
  readonly predictedMs: number
  readonly predictedWaitMs: number
  /** Cost taken from the retry budget; 0 for a first attempt. */
  readonly budgetTakenMs: number
  /** Time of the first token, or of the response to a call; 0 before. */
  firstTokenMs: number
  /** Tokens received when the first token was observed. */
  firstTokenCount: number
  /** Time and token count of the last sample of the time per token. */
  lastSampleMs: number
  lastSampleTokens: number
  /** Tokens received so far. */
  tokens: number
}
