import type { Clock } from '../../types/clock.js'
import type { StageRouter } from '../../types/stageRouter.js'
import type { StageWork } from '../../types/stageWork.js'
import type { AttemptHandler } from './attemptHandler.js'
import type { StageAttempt } from './stageAttempt.js'

/** What one execution of a stage needs. */
export interface StageRunOptions {
  readonly work: StageWork
  readonly router: StageRouter
  readonly clock: Clock
  /** Time after which a second attempt is asked of the router, from the router's prediction. */
  readonly computeBudget: (predictedMs: number) => number
  /** True when no second attempt may start after a byte of the first was sent. */
  readonly isAtMostOnce: boolean
  /** A stream that runs already and is resumed instead of a first attempt. */
  readonly resumedStream?: { readonly upstreamId: string, readonly streamId: string, readonly offset: number }
  /** Call id of the next attempt. */
  readonly buildCallId: () => string
  readonly startAttempt: (upstreamId: string, callId: string, events: AttemptHandler, resumeOffset?: number) => StageAttempt
  /** Called before an upstream is tried again, whose connections may have gone silent. */
  readonly onUpstreamReuse: (upstreamId: string) => void
  /** The attempt whose tokens count from now on; tokens of an earlier one are void. */
  readonly onAttemptChosen: (upstreamId: string, callId: string, resumed: boolean) => void
  readonly onTokens: (literals: readonly string[]) => void
}
