import { relayConstants } from './constants.js'
import type { TrafficObserver } from '../upstreams/trafficObserver.js'

/**
 * Signs in this host's own traffic that its links to all upstreams may be cut: new connections fail at several
 * upstreams, or nothing arrives from any upstream while requests are in progress. Upstreams that end or fall silent one
 * by one give no such sign. Times are on the monotonic clock.
 */
export class LinkEvidence implements TrafficObserver {
  private inProgress = 0
  /** Last time at which bytes arrived, or at which the first of the requests in progress was started. */
  private quietSinceMs = 0
  private lastBytesAtMs = -Infinity
  private readonly failedIds = new Set<string>()

  constructor (private readonly readNowMs: () => number) {}

  onExchangeStarted (): void {
    if (this.inProgress === 0) this.quietSinceMs = this.readNowMs()
    this.inProgress++
  }

  onExchangeEnded (): void {
    this.inProgress--
  }

  onBytes (): void {
    this.lastBytesAtMs = this.readNowMs()
    this.quietSinceMs = this.lastBytesAtMs
  }

  onConnected (): void {
    this.failedIds.clear()
  }

  onConnectFailed (upstreamId: string): void {
    this.failedIds.add(upstreamId)
  }

  /** Whether an upstream has been heard since a time. */
  hasBytesSince (sinceMs: number): boolean {
    return this.lastBytesAtMs > sinceMs
  }

  /** Why the links should be checked; undefined when there is no sign of a cut. */
  findSign (): 'connections fail' | 'silence' | undefined {
    if (this.failedIds.size >= relayConstants.failuresToCheck) return 'connections fail'
    const isSilent = this.inProgress > 0 && this.readNowMs() - this.quietSinceMs >= relayConstants.silenceMs
    return isSilent ? 'silence' : undefined
  }

  /** Forgets the signs after the links were checked. */
  removeSigns (): void {
    this.failedIds.clear()
    this.quietSinceMs = this.readNowMs()
  }
}
