import type { PendingAttempt } from './pendingAttempt.js'

/**
 * The attempts of this host that wait for an answer, by call id. An answer belongs to the attempt whose
 * id it carries, whichever connection it came over, and is taken at most once.
 */
export class PendingAttempts {
  private readonly attempts = new Map<string, PendingAttempt>()

  /** @param onDropped - called for each answer that no attempt waits for */
  constructor (private readonly onDropped: (upstreamId: string) => void) {}

  add (callId: string, attempt: PendingAttempt): void {
    this.attempts.set(callId, attempt)
  }

  /** False when no attempt waits under this id. */
  remove (callId: string): boolean {
    return this.attempts.delete(callId)
  }

  /** Hands the answer to its attempt. False when it was dropped. */
  receive (upstreamId: string, callId: string, output: unknown): boolean {
    const attempt = this.attempts.get(callId)
    if (attempt === undefined || attempt.upstreamId !== upstreamId) {
      this.onDropped(upstreamId)
      return false
    }
    this.attempts.delete(callId)
    attempt.onResponse(output)
    return true
  }
}
