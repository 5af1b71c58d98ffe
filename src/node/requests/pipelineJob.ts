import type { AnswerLog } from './answerLog.js'
import type { ResumeHint } from './resumeHint.js'
import type { Submission } from './submission.js'

/** One execution of a request by its owner. */
export interface PipelineJob {
  readonly submission: Submission
  readonly epoch: number
  /** On the monotonic clock. */
  readonly deadlineAtMs: number
  readonly log: AnswerLog
  /** Stream of an earlier owner. */
  readonly hint?: ResumeHint
  /** For kinds that run at most once: asked right before the first byte of a call is sent. */
  readonly isSendable?: () => boolean
  /** Called when a generation starts. */
  readonly onGenerationStart: (hint: ResumeHint) => void
}
