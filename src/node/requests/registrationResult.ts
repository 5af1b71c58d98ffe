import type { ResumeHint } from './resumeHint.js'

/** The directory's answer: whether the sender is the owner now, and who is. `ownerId` is empty for an unknown request. */
export interface RegistrationResult {
  readonly accepted: boolean
  readonly ownerId: string
  readonly epoch: number
  readonly bodyHash: string
  readonly hint?: ResumeHint
  readonly finished: boolean
}
