import type { RanState } from './ranState.js'

/** Recorded end of a call that runs at most once; `body` is the JSON text of the answer or of the error. */
export interface ClaimOutcome {
  readonly ran: RanState
  /** HTTP status with which the caller is answered. */
  readonly status: number
  readonly body: string
}
