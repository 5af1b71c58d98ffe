import type { ExecutionState } from '../../src/types/executionState.js'

/** Error object of the caller API. */
export interface AnswerError {
  readonly code: string
  readonly message: string
  readonly ran: ExecutionState
  readonly requestId?: string
  /** Hint: time after which a new try can succeed. */
  readonly retryAfterMs?: number
  /** Hint: other hosts that take requests. */
  readonly addresses?: ReadonlyArray<{ readonly address: string, readonly failureDomain: string }>
}
