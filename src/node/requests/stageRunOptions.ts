import type { Clock } from '../../types/clock.js'
import type { StageRouter } from '../../types/stageRouter.js'
import type { StageWork } from '../../types/stageWork.js'
import type { AttemptHandler } from './attemptHandler.js'
import type { StageAttempt } from './stageAttempt.js'

/** Dependencies and callbacks of a stage run. */
export interface StageRunOptions {
  readonly work: StageWork
  readonly router: StageRouter
  readonly clock: Clock
  /** Computes the time after which the router is asked for a second attempt, from its predicted duration. */
  readonly computeBudget: (predictedMs: number) => number
  /** True when no second attempt may start after a byte of the first one was sent. */
  readonly isAtMostOnce: boolean
  /** Existing stream that the first attempt resumes. */
  readonly resumedStream?: { readonly upstreamId: string, readonly streamId: string, readonly offset: number }
  /** Builds the call id of the next attempt. */
  readonly buildCallId: () => string
  readonly startAttempt: (upstreamId: string, callId: string, handler: AttemptHandler, resumeOffset?: number) => StageAttempt
  /** Called before an upstream is tried again, because its pooled connections may have gone silent. */
  readonly onUpstreamRetry: (upstreamId: string) => void
  /** Called when an attempt is chosen. Only its tokens are used; tokens of an earlier attempt must be discarded. */
  readonly onAttemptChosen: (upstreamId: string, callId: string, isResumed: boolean) => void
  readonly onTokens: (literals: readonly string[]) => void
}
