import type { StageSpec } from '../../types/stageSpec.js'

/** What a stage sends to its upstream. */
export interface StagePayload {
  readonly stage: StageSpec
  readonly priority: number
  /** For `generate` only. */
  readonly prompt: string
  /** For all other operations. */
  readonly input: unknown
  /** For calls that run at most once: asked right before the first byte is sent. */
  readonly isSendable?: () => boolean
}
