import type { ExecutionState } from '../../src/types/executionState.js'

/** Error object of the caller API, as a client receives it. */
export interface CallerApiError {
  readonly code: string
  readonly message: string
  readonly ran: ExecutionState
  readonly requestId?: string
  /** Retry hint: time after which a retry can succeed. */
  readonly retryAfterMs?: number
  /** Retry hint: other hosts that accept requests. */
  readonly addresses?: ReadonlyArray<{ readonly address: string, readonly failureDomain: string }>
}
