import type { RanState } from '../../src/types/ranState.js'

/** Error object of the caller API. */
export interface CallerApiError {
  readonly code: string
  readonly message: string
  readonly ran: RanState
  readonly requestId?: string
  /** Hint: time after which a new try can succeed. */
  readonly retryAfterMs?: number
  /** Hint: other hosts that take requests. */
  readonly addresses?: ReadonlyArray<{ readonly address: string, readonly failureDomain: string }>
}
