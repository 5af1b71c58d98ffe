import { checkUpstreamAnswers } from '../gateway/relays/checkUpstreamAnswers.js'
import { checkUpstreamEnded } from '../gateway/crashes/checkUpstreamEnded.js'
import { ColdCondition } from '../gateway/conditions/coldCondition.js'
import { computeLimitShare } from '../gateway/upstreams/computeLimitShare.js'
import { createBrittleCondition } from './createBrittleCondition.js'
import { decodeUpstreamResponse } from '../platform/decodeUpstreamResponse.js'
import { EvacuatedCondition } from '../gateway/conditions/evacuatedCondition.js'
import { upstreamConstants } from '../gateway/upstreams/constants.js'
import { UpstreamDirectory } from '../gateway/upstreams/upstreamDirectory.js'
import { UpstreamReachability } from '../gateway/relays/upstreamReachability.js'
import type { BrittleShares } from '../gateway/conditions/brittleShares.js'
import type { ColdShares } from '../gateway/conditions/coldShares.js'
import type { ExchangeSender } from '../gateway/upstreams/exchangeSender.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { GatewayContext } from './gatewayContext.js'

interface UpstreamsOptions extends Pick<GatewayComponents, 'configuration' | 'hosts'> {
  readonly coldShares: ColdShares
  /** Way to an upstream by way of another host; asked for only while this host is cut off. */
  readonly findRelay: (upstreamId: string) => ExchangeSender | undefined
  /** The host was cut off from the upstreams, or reaches them again. */
  readonly onLinksChanged: (isCutOff: boolean) => void
  readonly onChanged: () => void
  readonly onRemoved: (upstreamId: string) => void
}

interface Upstreams extends Pick<GatewayComponents, 'upstreams' | 'reachability'> {
  readonly evacuated: EvacuatedCondition
  readonly brittleShares: BrittleShares
  /** Checks whether the process at the address of an upstream has ended. */
  readonly checkEnded: (address: string) => Promise<boolean>
}

/** Creates the directory of upstreams with the conditions that the operator sets and the check of the links to them. */
export function createUpstreams (context: GatewayContext, options: UpstreamsOptions): Upstreams {
  const { settings: { hostId }, settingsHolder, clock, random, logger, metrics } = context
  const { configuration, hosts, coldShares, onChanged, onRemoved } = options
  const reachability = new UpstreamReachability({
    listTargets: () => upstreams.listOpen().map(({ entry: { id, address, service }, inFlight }) => {
      const healthPath = configuration.getCurrent()?.services.get(service)?.healthPath ?? '/'
      return { id, address, service, healthPath, inProgress: inFlight }
    }),
    checkAnswers: async target => {
      const state = upstreams.find(target.id)
      if (state !== undefined) cold.recordSent(state, clock.readMonotonicMs())
      return await checkUpstreamAnswers(target, (status, headers) => {
        if (state === undefined) return
        const head = decodeUpstreamResponse(status, headers)
        cold.observeHead(state, head, clock.readMonotonicMs())
        brittle.observeCheck(state, head, clock.readMonotonicMs())
      })
    },
    onChanged: isCutOff => {
      upstreams.applyLinkChange()
      options.onLinksChanged(isCutOff)
    },
    clock,
    random,
    logger,
    metrics
  })
  const cold = new ColdCondition({
    logger,
    metrics,
    findSpec: service => {
      const { coldBound } = settingsHolder.get().timings
      return coldBound === undefined ? undefined : configuration.getCurrent()?.services.get(service)?.cold
    },
    computeRate: (upstreamId, coldRate, nowMs) => {
      const { coldBound } = settingsHolder.get().timings
      return coldBound === undefined ? 0 : coldShares.computeRate(upstreamId, coldRate, coldBound, nowMs)
    }
  })
  const { brittle, brittleShares } = createBrittleCondition({
    hostId,
    configuration,
    getHosts: () => hosts,
    getUpstreams: () => upstreams,
    clock,
    logger,
    metrics,
    random
  })
  const evacuated = new EvacuatedCondition({
    logger,
    metrics,
    onChanged: returned => {
      for (const domain of returned) cold.observeReturn(domain, clock.readMonotonicMs())
      onChanged()
    }
  })
  const upstreams: UpstreamDirectory = new UpstreamDirectory({
    clock,
    logger,
    metrics,
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: service => {
      const limit = configuration.getCurrent()?.services.get(service)?.connectionLimit ?? 0
      const hostLimit = Math.floor(limit * upstreamConstants.connectionShare / hosts.countHosts())
      return Math.max(hostLimit, upstreamConstants.minConnections)
    },
    computeLimitShare: upstreamId => computeLimitShare(upstreamId, hostId, hosts.listReady().map(host => host.id)),
    countHosts: () => hosts.countHosts(),
    traffic: reachability,
    findRelay: upstreamId => reachability.isCutOff() ? options.findRelay(upstreamId) : undefined,
    conditions: [evacuated, cold, brittle],
    onChanged,
    onRemoved
  })
  return {
    upstreams,
    reachability,
    evacuated,
    brittleShares,
    checkEnded: async address => {
      const startedAtMs = clock.readMonotonicMs()
      // A host that is cut off is refused by upstreams that have not ended.
      return await checkUpstreamEnded(address) && await reachability.checkReached(startedAtMs)
    }
  }
}
