import type { StageSpec } from './stageSpec.js'

/** Properties of an arriving request that admission depends on. */
export interface AdmissionRequest {
  readonly requestId: string
  readonly account: string
  readonly kind: string
  readonly stages: readonly StageSpec[]
  readonly priority: number
  readonly idempotent: boolean
  /** Time left until the deadline. */
  readonly remainingMs: number
  /** Predicted number of generated tokens; 0 for plain calls. */
  readonly tokens: number
}
