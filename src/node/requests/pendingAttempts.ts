import type { PendingAttempt } from './pendingAttempt.js'

/**
 * The attempts of this host that wait for a response, by call id. A response is matched to its attempt by call id,
 * regardless of the connection that delivered it, and is accepted at most once.
 */
export class PendingAttempts {
  private readonly attempts = new Map<string, PendingAttempt>()

  /** @param onDropped - called for each response that no attempt waits for */
  constructor (private readonly onDropped: (upstreamId: string) => void) {}

  add (callId: string, attempt: PendingAttempt): void {
    this.attempts.set(callId, attempt)
  }

  /** Returns false when no attempt waits for this call id. */
  remove (callId: string): boolean {
    return this.attempts.delete(callId)
  }

  /** Delivers a response to its attempt. Returns false when the response was dropped. */
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
