import type { ExecutionState } from '../../src/types/executionState.js'

/**
 * The outcome of one request, as its caller saw it.
 *
 * `whole`: a complete answer that belongs to the request. `wrong`: an answer that failed the check (`violation`).
 * `refused`: an error with `ran: "not_run"`. `abandoned`: cancelled by the caller. `failed`: everything else.
 */
export interface RequestRecord {
  /** Ids under which the request was sent: a new one for each retry after `not_run`. */
  readonly requestIds: readonly string[]
  /** Ids that were replaced although their outcome was unknown, see `CallerBehaviour.retriesUnknownWithNewId`. */
  readonly unknownOutcomeIds?: readonly string[]
  readonly marker: string
  readonly account: string
  readonly kind: string
  readonly outcome: 'whole' | 'wrong' | 'refused' | 'abandoned' | 'failed'
  readonly ran: ExecutionState
  /** Error code of the last answer, or the caller's own code when it abandoned the request or got no answer. */
  readonly code?: string
  readonly message?: string
  readonly violation?: string
  /** Milliseconds since the epoch. */
  readonly sentAtMs: number
  readonly latencyMs: number
  readonly firstTokenMs?: number
  readonly tokenCount: number
  /** Number of connections that broke or were refused with a code of `rejoinCodes`, after which the same id was sent again. */
  readonly rejoinCount: number
  readonly retryCount: number
  /** Codes of the refusals after which the request was sent again. */
  readonly retryCodes: readonly string[]
  /** Number of `restart` events, each of which discards the tokens so far. */
  readonly restartCount: number
  /** Addresses in the order of the connections. */
  readonly addresses: readonly string[]
  /** The `result` field of the answer. */
  readonly result?: unknown
}
