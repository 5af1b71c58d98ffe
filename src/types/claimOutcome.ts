import type { ExecutionState } from './executionState.js'

/** Recorded outcome of a call that runs at most once. */
export interface ClaimOutcome {
  readonly ran: ExecutionState
  /** HTTP status of the response to the caller. */
  readonly status: number
  /** JSON body of the response to the caller. */
  readonly body: string
}
