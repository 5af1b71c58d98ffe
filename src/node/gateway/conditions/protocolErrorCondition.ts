import type { ConditionBlock } from './conditionBlock.js'
import type { ExchangeFailure } from '../upstreams/exchangeFailure.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/** The upstream has broken the protocol several times in a row. May hold back all upstreams of a service. */
export class ProtocolErrorCondition implements UpstreamCondition {
  readonly name = 'protocol-error'

  constructor (private readonly logger: Logger, private readonly metrics: Metrics) {}

  findBlock ({ protocolErrorPause, inFlight }: UpstreamState, nowMs: number): ConditionBlock | undefined {
    if (protocolErrorPause.isOver(inFlight, nowMs)) return undefined
    return { waitMs: Math.max(protocolErrorPause.untilMs - nowMs, 0) }
  }

  computeHoldMs ({ protocolErrorPause }: UpstreamState, nowMs: number): number {
    return protocolErrorPause.computeHoldMs(nowMs)
  }

  recordSent (): void {}

  recordEnded (upstream: UpstreamState, nowMs: number, takesPlace = true, failure?: ExchangeFailure): void {
    const { entry, protocolErrorPause } = upstream
    if (failure === undefined) {
      // The short answer to a release does not show that the upstream answers other requests.
      if (takesPlace) protocolErrorPause.onWholeAnswer(nowMs)
      return
    }
    if (failure.isProtocolError !== true) return
    const pauseMs = protocolErrorPause.onProtocolError(nowMs)
    if (pauseMs === undefined) return
    const { id, service } = entry
    this.metrics.addCount('upstream_protocol_error_pauses', { service })
    this.logger.recordWarning('upstream paused', { upstream: id, service, pauseMs, reason: failure.detail })
  }
}
