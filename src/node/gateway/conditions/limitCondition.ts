import { computeLimitLifetimeMs } from '../upstreams/computeLimitLifetimeMs.js'
import { LimitShare } from '../upstreams/limitShare.js'
import { upstreamConstants } from '../upstreams/constants.js'
import type { ConditionBlock } from './conditionBlock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamLimit } from '../upstreams/upstreamLimit.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface LimitOptions {
  readonly logger: Logger
  readonly metrics: Metrics
  /** Part of an upstream's request limit that this host may use, from 0 to 1. */
  readonly computeLimitShare: (upstreamId: string) => number
  readonly countHosts: () => number
  readonly listUpstreams: () => Iterable<UpstreamState>
}

/**
 * This host's share of the limit that the upstream named is used up. Not part of `isOpen`: upstreams of a service
 * without a limit then take only as many requests as they have places.
 */
export class LimitCondition implements UpstreamCondition {
  readonly name = 'limit'
  private sharesUpdatedAtMs = 0

  constructor (private readonly options: LimitOptions) {}

  findBlock (upstream: UpstreamState, nowMs: number): ConditionBlock | undefined {
    const waitMs = this.findLimit(upstream, nowMs)?.share.computeWaitMs(nowMs) ?? 0
    return waitMs === 0 ? undefined : { waitMs }
  }

  /** A request takes its token when it is admitted, before its stages run. */
  recordSent (): void {}

  observeHead (upstream: UpstreamState, { requestLimit }: UpstreamResponseHead, nowMs: number): void {
    const before = upstream.limit
    if (requestLimit === undefined && before === undefined) return
    const { logger, countHosts, computeLimitShare } = this.options
    const { id, service } = upstream.entry
    // A limit that cannot be read says neither that there is none nor how much the upstream takes.
    if (requestLimit === 'unreadable') {
      const limitInForce = before?.requestsPerSecond
      logger.recordWarning('upstream limit not readable', { upstream: id, service, limitInForce })
      return
    }
    if (requestLimit !== before?.requestsPerSecond) this.recordLimit(upstream, requestLimit, 'named in an answer')
    if (requestLimit === undefined) {
      upstream.limit = undefined
      return
    }
    const rate = requestLimit * computeLimitShare(id)
    const share = before?.share ?? new LimitShare(rate, nowMs)
    share.setRate(rate, nowMs)
    const endsAtMs = nowMs + computeLimitLifetimeMs(requestLimit, countHosts())
    upstream.limit = { requestsPerSecond: requestLimit, endsAtMs, share }
  }

  /** The limit of an upstream with this host's current share of it. */
  findLimit (upstream: UpstreamState, nowMs: number): UpstreamLimit | undefined {
    if (upstream.limit === undefined) return undefined
    if (upstream.limit.endsAtMs <= nowMs) {
      this.recordLimit(upstream, undefined, 'no answer for long')
      upstream.limit = undefined
      return undefined
    }
    this.updateShares(nowMs)
    return upstream.limit
  }

  /** Chooses the hosts that share the limits again, because hosts come and go. */
  private updateShares (nowMs: number): void {
    if (nowMs - this.sharesUpdatedAtMs < upstreamConstants.limitShareRefreshMs) return
    this.sharesUpdatedAtMs = nowMs
    const { listUpstreams, computeLimitShare } = this.options
    for (const { entry, limit } of listUpstreams()) {
      limit?.share.setRate(limit.requestsPerSecond * computeLimitShare(entry.id), nowMs)
    }
  }

  private recordLimit (upstream: UpstreamState, requestsPerSecond: number | undefined, reason: string): void {
    const { id, service } = upstream.entry
    this.options.metrics.addCount('upstream_limit_changes', { service })
    this.options.logger.recordInfo(requestsPerSecond === undefined ? 'upstream limit ended' : 'upstream limit named', {
      upstream: id,
      service,
      requestsPerSecond,
      before: upstream.limit?.requestsPerSecond,
      reason
    })
  }
}
