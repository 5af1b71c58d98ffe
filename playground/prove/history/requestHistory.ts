import type { ExecutionState } from '../../../src/types/executionState.js'

/** The outcome of one request id over all its connections, as the caller saw it. Times are milliseconds since the epoch. */
export interface RequestHistory {
  readonly account: string
  readonly requestId: string
  readonly kind: string
  /** Ids under which the caller sent the same request before. */
  readonly earlierRequestIds?: readonly string[]
  /** The contract allows at most one execution, because the kind is not idempotent. */
  readonly atMostOnce: boolean
  readonly startMs: number
  readonly endMs: number
  /**
   * `answered`: an answer, correct unless `contentFault` is set. `refused`: an error response,
   * whatever its `ran` says. `lost`: no final answer.
   */
  readonly outcome: 'answered' | 'refused' | 'lost'
  /** What the final error says about execution; for `refused` only. */
  readonly ran?: ExecutionState
  readonly code?: string
  /** Fault that the caller found in the answer's content: a token that is missing or repeated, or a token or marker of another request. */
  readonly contentFault?: string
}
