import { createMemoryMetrics } from '../../../../../playground/fakes/createMemoryMetrics.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { decodeUpstreamResponse } from '../../../platform/decodeUpstreamResponse.js'
import { UpstreamDirectory } from '../../upstreams/upstreamDirectory.js'
import type { Clock } from '../../../../types/clock.js'
import type { UpstreamCondition } from '../upstreamCondition.js'

/** Directory of upstreams without connections. */
export function createTestDirectory (clock: Clock, conditions: readonly UpstreamCondition[] = []): UpstreamDirectory {
  return new UpstreamDirectory({
    clock,
    logger: createSilentLogger(),
    metrics: createMemoryMetrics(),
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: () => 10,
    computeLimitShare: () => 1,
    countHosts: () => 1,
    traffic: { onExchangeStarted: () => {}, onExchangeEnded: () => {}, onBytes: () => {}, onConnected: () => {}, onConnectFailed: () => {} },
    findRelay: () => undefined,
    conditions,
    onChanged: () => {},
    onRemoved: () => {}
  })
}
