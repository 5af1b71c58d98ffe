import { createSeededRandom } from '../../shared/createSeededRandom.js'
import { systemClock } from '../../shared/systemClock.js'
import { AnswerMemory } from '../gateway/answers/answerMemory.js'
import { createAdmissionController } from '../admission/createAdmissionController.js'
import { createBurnReporter } from '../burn/createBurnReporter.js'
import { createClaimService } from '../claims/createClaimService.js'
import type { RunningHost } from '../cli/runningHost.js'
import { createAdminHandler } from '../contracts/admin/createAdminHandler.js'
import { createContracts } from '../contracts/createContracts.js'
import { createAccountLimiter } from '../limits/createAccountLimiter.js'
import { computeConnectionLimit } from '../gateway/ingress/computeConnectionLimit.js'
import { ingressConstants } from '../gateway/ingress/constants.js'
import { readDescriptorLimit } from '../listeners/readDescriptorLimit.js'
import { createLogger } from '../logging/createLogger.js'
import { createMembership } from '../membership/createMembership.js'
import { createMetrics } from '../metrics/createMetrics.js'
import { createGrpcPeerTransport } from '../peers/createGrpcPeerTransport.js'
import { createHttpHostList } from '../keyValue/createHttpHostList.js'
import { createHttpKeyValueService } from '../keyValue/createHttpKeyValueService.js'
import { createPlacement } from '../placement/createPlacement.js'
import { chooseRouteHosts } from '../requests/chooseRouteHosts.js'
import { computeRouteHostCount } from '../requests/computeRouteHostCount.js'
import { createDrain } from '../requests/createDrain.js'
import { RequestService } from '../requests/requestService.js'
import { createStageRouter } from '../routing/createStageRouter.js'
import { closeCallerServer } from '../server/closeCallerServer.js'
import { createCallerServer } from '../server/createCallerServer.js'
import type { ResolvedSettings } from '../settings/resolvedSettings.js'
import { upstreamConstants } from '../upstreams/constants.js'
import { HostListPoller } from '../upstreams/hostListPoller.js'
import { UpstreamSubset } from '../upstreams/upstreamSubset.js'
import { UpstreamSet } from '../upstreams/upstreamSet.js'
import { createEnginePoolLookup } from './createEnginePoolLookup.js'
import { createDemandRecordingRouter } from './createDemandRecordingRouter.js'
import { EntryHost } from './entryHost.js'
import { resolveListenAddress } from './resolveListenAddress.js'
import { UpstreamOrders } from './upstreamOrders.js'

const UPSTREAM_LEAVING = 'upstream-leaving'

/**
 * Builds an entry host from its settings and starts it; resolves when it is ready to serve, or when it serves and
 * `stopSignal` is aborted. This is the only module that constructs the components of an entry host.
 */
export async function createEntryHost (settings: ResolvedSettings, stopSignal?: AbortSignal): Promise<RunningHost> {
  const { hostId, failureDomain } = settings
  const listen = await resolveListenAddress(settings.listen)
  const peerListen = await resolveListenAddress(settings.peerListen)
  const clock = systemClock
  const random = settings.seed === undefined ? Math.random : createSeededRandom(settings.seed)
  const logger = createLogger({ level: settings.logLevel, host: hostId, failureDomain, secrets: [settings.operatorToken, settings.peerSecret] })
  const metrics = createMetrics()
  const keyValue = createHttpKeyValueService({ baseUrl: settings.keyValueUrl, hostId })
  const hostList = createHttpHostList({ baseUrl: settings.hostListUrl, hostId })
  const transport = createGrpcPeerTransport({ hostId, secret: settings.peerSecret, metrics })
  const membership = createMembership({
    hostId,
    failureDomain,
    address: settings.advertise === settings.listen ? listen : settings.advertise,
    peerAddress: settings.peerAdvertise === settings.peerListen ? peerListen : settings.peerAdvertise,
    transport,
    hostList,
    logger,
    metrics,
    random
  })
  const contracts = createContracts({ service: keyValue, transport, membership, logger, metrics, random })
  const limiter = createAccountLimiter({ contracts: contracts.store, membership, transport, metrics, random })
  const router = createStageRouter({
    random,
    wallOffsetMs: clock.readWallMs() - clock.readMonotonicMs(),
    countHosts: () => membership.listHosts().length,
    onPaused: ({ id, pool }, pauseMs) => {
      metrics.addCount('upstream_protocol_error_pauses', { service: pool })
      logger.recordWarning('upstream paused', { upstream: id, service: pool, pauseMs })
    }
  })
  const admission = createAdmissionController({ limiter, estimator: router, contracts: contracts.store })
  const answerMemory = new AnswerMemory({ limitBytes: upstreamConstants.answerMemoryBytes, logger, metrics })
  const upstreams = new UpstreamSet({
    answerMemory,
    router,
    clock,
    random,
    logger,
    isEnginePool: createEnginePoolLookup(contracts.store),
    onLeaving: upstreamId => membership.sendEvent(UPSTREAM_LEAVING, upstreamId),
    maxConnections: settings.maxConnectionsPerUpstream,
    probeIntervalMs: settings.probeMs
  })
  membership.onEvent(event => {
    if (event.type === UPSTREAM_LEAVING) router.onLeaving(event.subject, clock.readMonotonicMs())
  })
  const subset = new UpstreamSubset(hostId, settings.upstreamSubset)
  const poller = new HostListPoller({
    hostList,
    logger,
    intervalMs: settings.hostListPollMs,
    onUpstreams: listed => upstreams.applyUpstreams(subset.choose(listed, membership.listHosts().map(host => host.id)))
  })
  const claims = createClaimService({ hostId, keyValue, clock, logger, metrics, peers: { transport, membership } })
  const burn = createBurnReporter({ contracts: contracts.store, membership, transport, clock, logger })
  const placement = createPlacement({ keyValue, orders: new UpstreamOrders(upstreams), membership, transport, clock, random, logger })
  const requests = new RequestService({
    clock,
    logger,
    metrics,
    router: createDemandRecordingRouter(router, placement.demand),
    admission,
    membership,
    transport,
    claims,
    upstreams,
    waitForCredit: async (account, limitMs) => await limiter.waitForCredit(account, limitMs),
    onSample: sample => burn.observe(sample),
    finishedRetentionMs: settings.answerRetentionMs,
    finishedRetentionBytes: settings.answerRetentionBytes
  })
  const drain = createDrain({
    requests,
    membership,
    logger,
    reportLeaving: () => membership.startLeaving(),
    chooseRouteHosts: hosts => chooseRouteHosts(hosts, hostId, hosts.length),
    closeServer: async () => await closeCallerServer(server),
    routeLifetimeMs: settings.routeLifetimeMs
  })
  const admin = createAdminHandler({
    contracts,
    membership,
    logger,
    startDrain: async () => {
      host.drain()
      return { state: drain.state }
    },
    readBurn: async () => await burn.readReport()
  })
  let isStarted = false
  const server = createCallerServer({
    contracts: contracts.store,
    membership,
    requests,
    admin,
    metrics,
    logger,
    operatorToken: settings.operatorToken,
    listUnreadyReasons: () => [...contracts.isReady() ? [] : ['contracts are not loaded'], ...isStarted ? [] : ['the host list is not loaded']],
    chooseRouteHosts: (hosts, contract) => chooseRouteHosts(hosts, contract.account, computeRouteHostCount(contract.requestsPerSecond)),
    routeLifetimeMs: settings.routeLifetimeMs,
    maxBodyBytes: settings.maxBodyBytes,
    maxConnections: settings.maxCallerConnections ?? computeCallerConnections(),
    unreadTimeoutMs: settings.unreadTimeoutMs
  })
  const host = new EntryHost({ settings, listen, peerListen, logger, server, transport, membership, contracts, limiter, drain, placement, poller, upstreams, requests, keyValue, hostList })
  await host.start(stopSignal)
  isStarted = stopSignal?.aborted !== true
  return host
}

/** Leaves file descriptors for upstreams, other hosts and the platform's services. */
function computeCallerConnections (): number {
  const descriptors = readDescriptorLimit()
  return descriptors === undefined ? Infinity : computeConnectionLimit(descriptors, ingressConstants.clientDescriptorShare)
}
