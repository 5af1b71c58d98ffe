import type { SimulatedRequest } from './simulatedRequest.js'

/** Where a simulated request was sent, and when its first event came. */
export interface SimulatedOutcome extends SimulatedRequest {
  readonly engineId: string
  readonly firstEventMs: number
  /** Tokens of the shared part that the engine read although an engine had read them before. */
  readonly tokensReadAgain: number
}
