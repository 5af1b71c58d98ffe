import { computeBackoffMs } from '../upstreams/computeBackoffMs.js'
import { upstreamConstants } from '../upstreams/constants.js'
import type { ConditionBlock } from './conditionBlock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/**
 * The upstream has asked for a pause, or another instance has its address. After the pause, one request at a time is
 * sent until the upstream takes one.
 */
export class BackoffCondition implements UpstreamCondition {
  readonly name = 'backoff'

  constructor (private readonly logger: Logger, private readonly metrics: Metrics) {}

  findBlock ({ backoff, inFlight }: UpstreamState, nowMs: number): ConditionBlock | undefined {
    return backoff.isOver(inFlight, nowMs) ? undefined : { waitMs: Math.max(backoff.untilMs - nowMs, 0) }
  }

  computeHoldMs ({ backoff }: UpstreamState, nowMs: number): number {
    return backoff.computeHoldMs(nowMs)
  }

  recordSent (): void {}

  observeHead ({ entry, backoff }: UpstreamState, head: UpstreamResponseHead, nowMs: number): void {
    const { status, isMisdirected, backoffMs: statedMs } = head
    const { id, service, address } = entry
    if (isMisdirected) {
      backoff.observeAnswer(upstreamConstants.replacedPauseMs, nowMs)
      this.metrics.addCount('upstreams_replaced_seen', { service })
      this.logger.recordInfo('upstream not at its address any more', { upstream: id, service, address })
      return
    }
    const backoffMs = statedMs === undefined ? undefined : computeBackoffMs(statedMs)
    backoff.observeAnswer(backoffMs, nowMs)
    if (backoffMs === undefined) return
    this.metrics.addCount('upstream_backoffs', { service })
    this.logger.recordInfo('upstream asked to back off', { upstream: id, service, status, statedMs, backoffMs })
  }
}
