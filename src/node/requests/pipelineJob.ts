import type { AnswerLog } from './answerLog.js'
import type { ResumeHint } from './resumeHint.js'
import type { Submission } from './submission.js'

/** One execution of a request by its owner. */
export interface PipelineJob {
  readonly submission: Submission
  readonly epoch: number
  /** Deadline on the monotonic clock. */
  readonly deadlineAtMs: number
  readonly log: AnswerLog
  /** Stream of an earlier owner that may be resumed. */
  readonly hint?: ResumeHint
  /**
   * For at-most-once kinds: called right before the first byte of a call is sent, which must not be sent when it
   * returns false.
   */
  readonly isSendable?: () => boolean
  /** Called when a generation starts or is resumed. */
  readonly onGenerationStart: (hint: ResumeHint) => void
}
