import type { StageSpec } from '../../types/stageSpec.js'

/** Data of a stage that is sent to its upstream. */
export interface StagePayload {
  readonly stage: StageSpec
  readonly priority: number
  /** Prompt of a `generate` stage; empty for other operations. */
  readonly prompt: string
  /** Input for all operations except `generate`. */
  readonly input: unknown
  /** For at-most-once calls: called right before the first byte is sent; the call is not sent when it returns false. */
  readonly isSendable?: () => boolean
}
