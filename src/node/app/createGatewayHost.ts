import { ColdShares } from '../gateway/conditions/coldShares.js'
import { computeConnectionLimit } from '../gateway/ingress/computeConnectionLimit.js'
import { ConfigurationHolder } from '../gateway/configuration/configurationHolder.js'
import { createGrpcPeerTransport } from '../peers/createGrpcPeerTransport.js'
import { createHostMemory } from './createHostMemory.js'
import { createIngress } from './createIngress.js'
import { createLogger } from '../logging/createLogger.js'
import { createMetrics } from '../metrics/createMetrics.js'
import { createOutputWriter } from '../gateway/logs/createOutputWriter.js'
import { createPeerSecret } from '../gateway/hosts/createPeerSecret.js'
import { createStages } from './createStages.js'
import { createStatusServers } from './createStatusServers.js'
import { createStoreRecords } from './createStoreRecords.js'
import { createStoreSections } from './createStoreSections.js'
import { createStoreWatcher } from './createStoreWatcher.js'
import { createUpstreams } from './createUpstreams.js'
import { ErrorGuard } from './errorGuard.js'
import { gatewayConstants } from './gatewayConstants.js'
import { GatewayHost } from './gatewayHost.js'
import { HostDirectory } from '../gateway/hosts/hostDirectory.js'
import { HostSettingsHolder } from '../gateway/hosts/hostSettingsHolder.js'
import { PlacementExplainer } from '../gateway/placement/placementExplainer.js'
import { platformConstants } from '../platform/constants.js'
import { PlatformStore } from '../platform/platformStore.js'
import { RateLimitedLogger } from '../gateway/logs/rateLimitedLogger.js'
import { RelayClient } from '../gateway/relays/relayClient.js'
import { RelayServer } from '../gateway/relays/relayServer.js'
import { StoreEra } from '../gateway/store/storeEra.js'
import { StoreHttpClient } from '../platform/storeHttpClient.js'
import { systemClock } from '../../shared/systemClock.js'
import type { GatewayContext } from './gatewayContext.js'
import type { GatewayOptions } from './gatewayOptions.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { ReloadableHost } from '../cli/reloadableHost.js'

/**
 * Builds a gateway host from its settings and starts it. Rejects with the reason of `stopSignal` when it is aborted
 * before the host listens for clients. This is the only module that wires the components; the modules beside it that it
 * calls construct groups of them.
 */
export async function createGatewayHost (
  settings: HostSettings,
  options: GatewayOptions = {}
): Promise<ReloadableHost> {
  const { hostId, failureDomain } = settings
  const clock = systemClock
  const random = Math.random
  const metrics = createMetrics()
  const write = options.writeLine ?? createOutputWriter()
  const logger = new RateLimitedLogger(createLogger({ host: hostId, failureDomain, write }), clock)
  logger.recordInfo('host starting', { pid: process.pid })
  const settingsHolder = new HostSettingsHolder(settings, logger)
  const getDrainLimitMs = (): number => settingsHolder.get().timings.gracePeriodMs
  const errorGuard = new ErrorGuard({ process, logger, clock, getDrainLimitMs })
  errorGuard.start()

  const storeEra = new StoreEra(logger, metrics)
  const storeClient = new StoreHttpClient(settings.storeAddress, metrics, storeEra)
  const store = new PlatformStore(storeClient, storeEra)
  const context: GatewayContext = { settings, settingsHolder, store, storeEra, clock, random, logger, metrics }

  let isUpdateScheduled = false
  /** Applies upstream and configuration changes to the stage schedulers, at most once per turn of the event loop. */
  const scheduleUpdate = (): void => {
    if (isUpdateScheduled) return
    isUpdateScheduled = true
    setImmediate(() => {
      isUpdateScheduled = false
      const current = configuration.getCurrent()
      if (current === undefined) return
      cells.applyUpstreams(
        current.services,
        service => upstreams.listService(service).map(state => state.entry),
        domain => evacuated.has(domain)
      )
    })
  }
  const configuration = new ConfigurationHolder(logger, metrics, current => {
    ingress.applyLimits(current.limits)
    host.updateEntry()
    scheduleUpdate()
  })

  const coldShares = new ColdShares(hostId, () => hosts.listReady().map(host => host.id))
  const hosts: HostDirectory = new HostDirectory({
    id: hostId,
    failureDomain,
    clientAddress: settings.clientAddress,
    // The port is known when the host listens; the entry is published after that.
    peerAddress: `${settings.ipAddress}:${settings.firstPeerPort}`,
    cores: settings.cores,
    isReady: false,
    startedAtMs: clock.readWallMs()
  }, logger, () => {
    for (const shares of [coldShares, brittleShares]) {
      shares.observeReadiness(hosts.getSelf().isReady, clock.readMonotonicMs())
    }
  })
  const secret = createPeerSecret()
  const transport = createGrpcPeerTransport({
    hostId,
    secret,
    metrics,
    maxConnections: computeConnectionLimit(settings.fileDescriptors, gatewayConstants.peerDescriptorShare)
  })

  const { upstreams, reachability, evacuated, brittleShares, checkEnded } = createUpstreams(context, {
    configuration,
    hosts,
    coldShares,
    findRelay: upstreamId => relayClient.findSender(upstreamId),
    onLinksChanged: isCutOff => {
      if (isCutOff) relayClient.start()
      else relayClient.drain()
      if (isCutOff) relayServer.sendDeclines()
      cells.applyLinkChange()
    },
    onChanged: scheduleUpdate,
    onRemoved: upstreamId => {
      directEngines.removeEngine(upstreamId)
      capacities.removeEngine(upstreamId)
      cells.removeEngine(upstreamId)
    }
  })
  const { cells, stages, capacities, directEngines } = createStages(context, { hosts, upstreams, sessions: transport })

  const hostKey = `${platformConstants.hostPrefix}${hostId}`
  const { crashGuard, ...records } = createStoreRecords(context, {
    hostKey,
    secret,
    hosts,
    upstreams,
    evacuated,
    checkEnded,
    onSecretReplaced: replacement => { transport.setSecret(replacement) }
  })
  const sections = createStoreSections(context, {
    hostKey,
    configuration,
    evacuated,
    hosts,
    upstreams,
    crashGuard,
    ...records,
    onUpstreamsLoaded: () => { host.onUpstreamsLoaded() }
  })

  const relayClient = new RelayClient({ hosts, sessions: transport, clock, random, logger, metrics })
  const { answerMemory, requestMemory, heap, memoryWatch } = createHostMemory(context)
  const relayServer = new RelayServer({
    sessions: transport,
    upstreams,
    answerMemory,
    requestMemory,
    isCutOff: () => reachability.isCutOff(),
    checkEnded: async upstream => await checkEnded(upstream.address),
    logger,
    metrics
  })
  relayServer.start()

  const { streamVersions } = records
  const ingress = createIngress(context, {
    configuration,
    hosts,
    upstreams,
    reachability,
    relayClient,
    stages,
    streamVersions,
    directEngines,
    capacities,
    crashGuard,
    answerMemory,
    requestMemory,
    heap
  })
  const placement = new PlacementExplainer({
    hostId,
    failureDomain,
    configuration,
    directory: upstreams,
    engines: directEngines,
    capacities,
    findRequiredVersion: service => streamVersions.findRequiredVersion(service),
    clock
  })
  const host: GatewayHost = new GatewayHost({
    settings: settingsHolder,
    logger,
    clock,
    configuration,
    upstreams,
    hosts,
    cells,
    stages,
    ...records,
    reachability,
    relayClient,
    relayServer,
    ingress,
    ...createStatusServers({
      getSettings: () => settingsHolder.get(),
      hosts,
      isReady: () => host.isReady(),
      metrics,
      random,
      placement
    }),
    metricsAddress: `${settings.ipAddress}:${options.metricsPort ?? gatewayConstants.metricsPort}`,
    ...createStoreWatcher(context, sections, hosts),
    transport,
    storeClient,
    memoryWatch,
    errorGuard
  })
  await host.start(options.stopSignal)
  errorGuard.setHost(host)
  return host
}
