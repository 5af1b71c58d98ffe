/**
 * The pause that an upstream has asked this host for. After it, one request at a time is sent until the upstream takes
 * one: the callers that were told to come back arrive together. Answers the load of an upstream that turns requests
 * away while many clients wait for it.
 */
export class UpstreamBackoff {
  /** Monotonic time until which no request is sent. */
  untilMs = 0
  /** Whether the upstream has taken no request since it asked. */
  private isUnconfirmed = false

  /** `onChanged` is called after each answer and after the end of the pause. */
  constructor (private readonly onChanged: () => void = () => {}) {}

  /** An answer of the upstream; `backoffMs` is undefined when it asks for no pause. */
  observeAnswer (backoffMs: number | undefined, nowMs: number): void {
    if (backoffMs !== undefined) {
      this.untilMs = Math.max(this.untilMs, nowMs + backoffMs)
      this.isUnconfirmed = true
    } else if (this.untilMs <= nowMs) {
      this.isUnconfirmed = false
    }
    this.onChanged()
  }

  /** Whether a request may be sent while `inFlight` are in progress. */
  isOver (inFlight: number, nowMs: number): boolean {
    return this.untilMs <= nowMs && (!this.isUnconfirmed || inFlight === 0)
  }

  /** Time for which `isOver` holds unless an answer arrives or the number of requests in progress changes. */
  computeHoldMs (nowMs: number): number {
    return this.untilMs > nowMs ? this.untilMs - nowMs : Infinity
  }

  /** An instance that has just started has asked for nothing. */
  end (): void {
    this.untilMs = 0
    this.isUnconfirmed = false
    this.onChanged()
  }
}
