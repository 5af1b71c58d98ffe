import type { ExecutionState } from './executionState.js'

/** One finished or refused request, as the error budget report counts it. */
export interface RequestSample {
  readonly account: string
  readonly kind: string
  readonly elapsedMs: number
  /** Whether the answer was complete and within the latency of the objective. */
  readonly attained: boolean
  /** Error code when the request was refused or failed. */
  readonly code?: string
  readonly ran: ExecutionState
  /** Stage that took the most time, and its upstream. */
  readonly slowestStage?: string
  readonly slowestUpstream?: string
  readonly atMs: number
}
