import type { EnginePrompt } from '../../src/node/gateway/engines/enginePrompt.js'
import type { RequestKind } from './requestKind.js'

/** A request as its client sends it. */
export interface SimulatedRequest {
  readonly id: string
  readonly kind: RequestKind
  readonly failureDomain: string
  readonly sentAtMs: number
  /** Time after which the client stops waiting for an answer and does not retry. */
  readonly clientTimeoutMs: number
  /** Pieces of each stage of the kind. */
  readonly pieceCounts: readonly number[]
  readonly prompt: EnginePrompt
  readonly events: number
}
