import type { StageSpec } from './stageSpec.js'

/** A request at the door, as the decision core sees it. */
export interface AdmissionRequest {
  readonly requestId: string
  readonly account: string
  readonly kind: string
  readonly stages: readonly StageSpec[]
  readonly priority: number
  readonly idempotent: boolean
  /** Time left until the deadline. */
  readonly remainingMs: number
  /** Predicted generated tokens, 0 for plain calls. */
  readonly tokens: number
}
