import type { ExecutionState } from './executionState.js'

/** One finished or refused request, as the burn report counts it. */
export interface RequestSample {
  readonly account: string
  readonly kind: string
  readonly elapsedMs: number
  /** Whole answer within the objective's latency. */
  readonly attained: boolean
  /** Error code when the request was refused or failed. */
  readonly code?: string
  readonly ran: ExecutionState
  /** Stage that took the largest share of the time, and its upstream. */
  readonly slowestStage?: string
  readonly slowestUpstream?: string
  readonly atMs: number
}
