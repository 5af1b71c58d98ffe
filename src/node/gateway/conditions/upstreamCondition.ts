import type { ConditionBlock } from './conditionBlock.js'
import type { ExchangeFailure } from '../upstreams/exchangeFailure.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** A reason for which an upstream gets no requests. Contains no clock: callers pass the time. */
export interface UpstreamCondition {
  /** For logs, metrics and explanations. */
  readonly name: string
  /** Undefined when the upstream may get a request now. */
  findBlock (upstream: UpstreamState, nowMs: number): ConditionBlock | undefined
  /**
   * Time for which `findBlock` goes on to block the upstream, or not to, unless `upstream.onChanged()` is called or
   * `changeCount` changes. Infinity: until then. The former is called for each new entry, request and head of an
   * answer, and when the number of requests in progress changes; a condition that learns of an upstream otherwise calls
   * it itself. Lists of usable upstreams are kept for this time. Without this method, the condition is asked for each
   * request, which takes 200 us and more among 2,800 upstreams.
   */
  computeHoldMs? (upstream: UpstreamState, nowMs: number): number
  /** Grows with each change that may concern several upstreams; the condition is then asked for all of them again. */
  readonly changeCount?: number
  /** Counts a request that is sent to the upstream. One that takes no place is answered without waiting for others. */
  recordSent (upstream: UpstreamState, nowMs: number, takesPlace?: boolean): void
  /** Counts the end of a request that was sent; `failure` is undefined after a whole answer. */
  recordEnded? (upstream: UpstreamState, nowMs: number, takesPlace?: boolean, failure?: ExchangeFailure): void
  /** Requests that this host may have in progress at the upstream; undefined when the condition does not limit them. */
  findPlaces? (upstream: UpstreamState, nowMs: number): number | undefined
  /** Whether a request that the upstream rejects is refused, and not sent to another upstream. */
  isRationed? (upstream: UpstreamState, nowMs: number): boolean
  /** Takes the upstream's entry into account, which is new or was written again. */
  observeEntry? (upstream: UpstreamState, nowMs: number): void
  /** Takes the head of an answer of the upstream into account. */
  observeHead? (upstream: UpstreamState, head: UpstreamResponseHead, nowMs: number): void
}
