import type { RanState } from '../../src/types/ranState.js'

/**
 * What became of one request, as its caller saw it.
 *
 * `whole`: answered, and the answer was checked to be whole and its own. `wrong`: the answer failed
 * the check (`violation`). `refused`: an error with `ran: "not_run"`. `abandoned`: cancelled by the
 * caller. `failed`: everything else.
 */
export interface RequestRecord {
  /** Ids under which the request was sent: a new one for each retry after `not_run`. */
  readonly requestIds: readonly string[]
  /** Ids that were given up without an outcome for a new one, by callers that do so. */
  readonly unknownOutcomeIds?: readonly string[]
  readonly marker: string
  readonly account: string
  readonly kind: string
  readonly outcome: 'whole' | 'wrong' | 'refused' | 'abandoned' | 'failed'
  readonly ran: RanState
  /** Error code of the last answer, or of the caller when no host answered. */
  readonly code?: string
  readonly message?: string
  readonly violation?: string
  /** Milliseconds since the epoch. */
  readonly sentAtMs: number
  readonly latencyMs: number
  readonly firstTokenMs?: number
  readonly tokenCount: number
  /** Connections with the same id after the first one. */
  readonly rejoinCount: number
  readonly retryCount: number
  /** Codes of the refusals after which the request was sent again. */
  readonly retryCodes: readonly string[]
  /** `restart` events: the tokens so far were discarded. */
  readonly restartCount: number
  /** Addresses in the order in which they were used. */
  readonly addresses: readonly string[]
  /** `result` of the answer. */
  readonly result?: unknown
}
