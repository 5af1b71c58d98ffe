import type { StageOperation } from './stageOperation.js'

/** Properties of one stage of one request that routing depends on. */
export interface StageWork {
  /** `account/request/stage`. */
  readonly workId: string
  readonly account: string
  readonly pool: string
  readonly operation: StageOperation
  readonly model?: string
  /** Predicted cost: tokens for `generate`, 1 otherwise. */
  readonly cost: number
  readonly priority: number
  /** Absolute deadline of the whole request, on the clock of `nowMs`. */
  readonly deadlineMs: number
  readonly idempotent: boolean
  /** Digest of the prompt prefix, for cache affinity. */
  readonly prefixHash?: string
}
