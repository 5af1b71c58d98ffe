import type { StageOperation } from './stageOperation.js'

/** One stage of one request, as the decision core sees it. */
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
  /** Absolute deadline of the whole request, on the clock that `nowMs` comes from. */
  readonly deadlineMs: number
  readonly idempotent: boolean
  /** Digest of the prompt prefix, for cache affinity. */
  readonly prefixHash?: string
}
