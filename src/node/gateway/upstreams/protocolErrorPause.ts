import { upstreamConstants } from './constants.js'
import { UpstreamBackoff } from './upstreamBackoff.js'

/**
 * The pause of an upstream that breaks the protocol. Such answers cost the host time and memory, and neither the host
 * nor the path can be their cause, so, unlike ejections, the pause may take all upstreams of a service.
 */
export class ProtocolErrorPause {
  private readonly backoff: UpstreamBackoff
  private protocolErrors = 0
  private pauses = 0

  /** `onChanged` is called when the pause may have begun or ended. */
  constructor (
    onChanged: () => void = () => {},
    /** Longest pause. */
    private readonly maxPauseMs: number = upstreamConstants.maxProtocolErrorPauseMs
  ) {
    this.backoff = new UpstreamBackoff(onChanged)
  }

  /** Monotonic time until which no request is sent. */
  get untilMs (): number {
    return this.backoff.untilMs
  }

  /** Whether a request may be sent while `inFlight` are in progress. */
  isOver (inFlight: number, nowMs: number): boolean {
    return this.backoff.isOver(inFlight, nowMs)
  }

  /** Time for which `isOver` holds unless an answer arrives or the number of requests in progress changes. */
  computeHoldMs (nowMs: number): number {
    return this.backoff.computeHoldMs(nowMs)
  }

  onWholeAnswer (nowMs: number): void {
    this.backoff.observeAnswer(undefined, nowMs)
    this.protocolErrors = 0
    if (this.backoff.isOver(1, nowMs)) this.pauses = 0
  }

  /** Returns the duration of the pause that this answer begins, in milliseconds; undefined when it begins none. */
  onProtocolError (nowMs: number): number | undefined {
    // Answers that were in progress when the pause began.
    if (this.untilMs > nowMs) return undefined
    this.protocolErrors++
    const isAfterPause = !this.backoff.isOver(1, nowMs)
    if (!isAfterPause && this.protocolErrors < upstreamConstants.protocolErrorsToPause) return undefined
    const pauseMs = Math.min(upstreamConstants.protocolErrorPauseMs * 2 ** this.pauses, this.maxPauseMs)
    this.pauses++
    this.protocolErrors = 0
    this.backoff.observeAnswer(pauseMs, nowMs)
    return pauseMs
  }

  /** An instance that has just started has sent nothing. */
  end (): void {
    this.backoff.end()
    this.protocolErrors = 0
    this.pauses = 0
  }
}
