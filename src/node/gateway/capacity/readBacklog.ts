import { capacityConstants } from './constants.js'
import { DecayingWork } from './decayingWork.js'

interface WaitingRequest {
  readonly tokens: number
  readonly sentAtMs: number
}

/**
 * Work that this host has sent to the engines of a service and that is not read yet, and the rate at which they read
 * it. Their quotient is the time to read for a request that is sent now (Little's law), without the lag of samples: a
 * queue that grows shows in the times of first events only after its own length. One host of many has a part of both.
 */
export class ReadBacklog {
  /** In the order in which they were sent. */
  private readonly waiting = new Map<object, WaitingRequest>()
  private waitingTokens = 0
  /** Moving average of the waiting tokens. */
  private meanTokens = 0
  private updatedAtMs = 0
  /** Latest time at which a request was sent that has been read. */
  private readSentAtMs = -Infinity
  private readonly readTokens = new DecayingWork(capacityConstants.readRateHalfLifeMs)
  private readonly readRequests = new DecayingWork(capacityConstants.readRateHalfLifeMs)
  private firstAtMs: number | undefined

  addRequest (request: object, tokens: number, nowMs: number): void {
    this.removeWaiting(request, nowMs)
    this.firstAtMs ??= nowMs
    this.waiting.set(request, { tokens, sentAtMs: nowMs })
    this.waitingTokens += tokens
  }

  /** Records that a request has its first event, or was given up. */
  removeRequest (request: object, hasBegun: boolean, nowMs: number): void {
    const known = this.removeWaiting(request, nowMs)
    if (known === undefined || !hasBegun) return
    this.readTokens.addAmount(known.tokens, nowMs)
    this.readRequests.addAmount(1, nowMs)
    this.readSentAtMs = Math.max(this.readSentAtMs, known.sentAtMs)
    // Requests that were overtaken by far wait for an engine that does not answer, not in the queue of the service.
    for (const [other, { sentAtMs }] of this.waiting) {
      if (sentAtMs >= this.readSentAtMs - capacityConstants.overtakenMs) return
      this.removeWaiting(other, nowMs)
    }
  }

  /**
   * Time until a request that is sent now has been read; 0 without waiting requests. A few requests wait by chance as
   * often as in a queue, so both their number now and their average of the last seconds count less by some standard
   * deviations. The result is at most twice the time for which the oldest has waited: at twice the load, a queue
   * doubles in that time.
   */
  computeReadMs (nowMs: number): number {
    const [oldest] = this.waiting.values()
    if (oldest === undefined) return 0
    const { readRateHalfLifeMs, minReadRateAgeMs, waitGrowth } = capacityConstants
    const waitingTokens = this.waitingTokens * computeCertainPart(this.waiting.size)
    const meanTokens = this.computeMeanTokens(nowMs) * computeCertainPart(this.readRequests.computeAmount(nowMs))
    const tokens = Math.max(waitingTokens, Math.min(meanTokens, this.waitingTokens))
    if (tokens === 0) return 0
    // In the first seconds, the amounts are those of a shorter time.
    const ageMs = Math.max(nowMs - this.firstAtMs!, minReadRateAgeMs)
    const countedMs = readRateHalfLifeMs / Math.LN2 * (1 - 0.5 ** (ageMs / readRateHalfLifeMs))
    return Math.min(tokens * countedMs / this.readTokens.computeAmount(nowMs), (nowMs - oldest.sentAtMs) * waitGrowth)
  }

  private removeWaiting (request: object, nowMs: number): WaitingRequest | undefined {
    this.meanTokens = this.computeMeanTokens(nowMs)
    this.updatedAtMs = nowMs
    const known = this.waiting.get(request)
    if (known === undefined) return undefined
    this.waiting.delete(request)
    // Without a rest of rounding errors.
    this.waitingTokens = this.waiting.size === 0 ? 0 : this.waitingTokens - known.tokens
    return known
  }

  private computeMeanTokens (nowMs: number): number {
    const kept = 0.5 ** (Math.max(nowMs - this.updatedAtMs, 0) / capacityConstants.backlogHalfLifeMs)
    return this.waitingTokens + (this.meanTokens - this.waitingTokens) * kept
  }
}

/** Part of a number of requests that is not explained by chance. */
function computeCertainPart (count: number): number {
  return Math.max(1 - capacityConstants.backlogDeviations / Math.sqrt(count), 0)
}
