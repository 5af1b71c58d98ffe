import type { ResumeHint } from './resumeHint.js'

/**
 * The directory's reply: whether the registration was accepted, and the current owner. `ownerId` is empty for an
 * unknown request.
 */
export interface RegistrationResult {
  readonly accepted: boolean
  readonly ownerId: string
  readonly epoch: number
  readonly bodyHash: string
  readonly hint?: ResumeHint
  readonly finished: boolean
}
