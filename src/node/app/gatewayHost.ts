import { setTimeout as delay } from 'node:timers/promises'
import { AddressWaiter } from '../listeners/addressWaiter.js'
import { computeStopTimes } from './computeStopTimes.js'
import { gatewayConstants } from './gatewayConstants.js'
import { listenerConstants } from '../listeners/constants.js'
import { LoopTurns } from './loopTurns.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { StatusServer } from '../gateway/ingress/statusServer.js'
import type { StopTimes } from './stopTimes.js'
import type { ReloadableHost } from '../cli/reloadableHost.js'

/** A gateway host, from its start to the end of its drain. */
export class GatewayHost implements ReloadableHost {
  private readonly stopped: Promise<void>
  private resolveStopped = (): void => {}
  private isDraining = false
  private failure: Error | undefined
  private areUpstreamsLoaded = false
  private hasBeenReady = false
  private missingEntryTimer: NodeJS.Timeout | undefined
  private readonly turns: LoopTurns
  private turnTimer: NodeJS.Timeout | undefined
  private readonly stopping = new AbortController()

  constructor (private readonly components: GatewayComponents) {
    this.stopped = new Promise(resolve => { this.resolveStopped = resolve })
    this.turns = new LoopTurns(components.clock.readMonotonicMs())
  }

  /** Resolves when the host listens at all its addresses. Rejects when it cannot, or with the reason of `stopSignal`. */
  async start (stopSignal?: AbortSignal): Promise<void> {
    const settings = this.components.settings.get()
    const { ingress, storeWatcher, registrar, clock, logger } = this.components
    const limitMs = settings.timings.gracePeriodMs + listenerConstants.addressWaitMarginMs
    const waiter = new AddressWaiter({ limitMs, stopSignal, clock, logger })
    this.turnTimer = setInterval(() => { this.turns.recordTurn(clock.readMonotonicMs()) }, gatewayConstants.turnIntervalMs)
    try {
      await this.startInternalServers(waiter)
      // Clients come last: from here on, a stop drains the host.
      await waiter.open(settings.clientAddress, async () => { await ingress.start(settings.clientAddress) })
    } catch (error) {
      await this.stopComponents()
      throw error
    }
    storeWatcher.run().catch(error => { logger.recordError('store watcher failed', { reason: (error as Error).message }) })
    registrar.updateNow()
    this.components.reachability.start()
    this.components.streamVersions.start()
    this.components.memoryWatch.start()
    this.missingEntryTimer = setInterval(() => {
      this.components.upstreams.removeMissing()
      this.components.hosts.removeMissing(this.components.clock.readMonotonicMs())
    }, gatewayConstants.missingEntryCheckMs)
    logger.recordInfo('host started', { clientAddress: settings.clientAddress, cores: settings.cores })
  }

  /** Whether the host accepts new connections. */
  isReady (): boolean {
    return !this.isDraining && this.areUpstreamsLoaded && this.components.configuration.getCurrent() !== undefined
  }

  onUpstreamsLoaded (): void {
    this.areUpstreamsLoaded = true
    this.updateEntry()
  }

  /** Publishes this host's entry if its readiness has changed. */
  updateEntry (): void {
    const { hosts, registrar } = this.components
    const entry = hosts.getSelf()
    if (entry.isReady === this.isReady()) return
    this.hasBeenReady ||= this.isReady()
    hosts.updateSelf({ ...entry, isReady: this.isReady() })
    this.components.logger.recordInfo('readiness changed', { isReady: this.isReady() })
    registrar.updateNow()
  }

  applySettings (settings: HostSettings): void {
    this.components.settings.apply(settings)
  }

  recordSettingsFault (message: string): void {
    this.components.logger.recordError('settings not readable', { reason: message, outcome: 'the old settings stay' })
  }

  /** Starts the planned stop; after one with a failure, `waitUntilStopped` rejects with it. */
  drain (failure?: Error): void {
    this.failure ??= failure
    if (this.isDraining) return
    this.isDraining = true
    const { clock, settings, ingress, logger } = this.components
    const nowMs = clock.readMonotonicMs()
    const arrivedAtMs = this.turns.computeArrivalMs(nowMs)
    const lagMs = this.turns.computeLagMs(nowMs)
    const { cores, timings: { gracePeriodMs } } = settings.get()
    const times = computeStopTimes({ arrivedAtMs, gracePeriodMs, cores, lagMs })
    logger.recordInfo('drain started', {
      requests: ingress.requestCount,
      noticedAfterMs: Math.round(nowMs - arrivedAtMs),
      lagMs: Math.round(lagMs),
      endsInMs: Math.round(times.endAtMs - nowMs),
      exitsInMs: Math.round(times.exitAtMs - nowMs)
    })
    ingress.startClosing(times.endAtMs)
    this.updateEntry()
    const exitTimer = setTimeout(() => {
      logger.recordWarning('stop cut short', { unfinishedRequests: ingress.requestCount, reason: 'the grace period ends' })
      this.resolveStopped()
    }, Math.max(times.exitAtMs - nowMs, 0))
    this.runDrain(nowMs, times).catch(error => {
      logger.recordError('drain failed', { reason: (error as Error).message })
    }).finally(() => {
      clearTimeout(exitTimer)
      this.resolveStopped()
    })
  }

  async waitUntilStopped (): Promise<void> {
    await this.stopped
    if (this.failure !== undefined) throw this.failure
  }

  /** Serves the requests that clients send until they learn other addresses, then closes the remaining connections. */
  private async runDrain (startMs: number, { endAtMs, exitAtMs }: StopTimes): Promise<void> {
    const { ingress, relayServer, logger, clock } = this.components
    const waitAtMost = async (ms: number, untilMs: number): Promise<void> => {
      await delay(Math.max(Math.min(ms, untilMs - clock.readMonotonicMs()), 0))
    }
    const relaysEnded = relayServer.drain()
    // A host that has never been ready serves nobody.
    if (this.hasBeenReady) await waitAtMost(gatewayConstants.drainAcceptMs, endAtMs)
    const closed = ingress.stop()
    const closing = setInterval(() => { ingress.closeIdle() }, gatewayConstants.idleCloseIntervalMs)
    await Promise.race([Promise.all([closed, relaysEnded]), waitAtMost(Infinity, endAtMs)])
    clearInterval(closing)
    const unfinishedRequests = ingress.requestCount
    ingress.endRequests()
    if (unfinishedRequests > 0) await waitAtMost(gatewayConstants.responseFlushMs, exitAtMs)
    logger.recordInfo('host stopped', { unfinishedRequests, drainMs: Math.round(clock.readMonotonicMs() - startMs) })
    await Promise.all([ingress.endConnections(), this.stopComponents()])
  }

  private async stopComponents (): Promise<void> {
    const {
      registrar,
      storeWatcher,
      outdatedItemFilters,
      transport,
      storeClient,
      readinessServer,
      directoryServer,
      metricsServer,
      cells,
      stages,
      crashReporter,
      streamVersions,
      reachability,
      relayClient,
      secretKeeper,
      memoryWatch,
      errorGuard
    } = this.components
    this.stopping.abort()
    clearInterval(this.missingEntryTimer)
    clearInterval(this.turnTimer)
    storeWatcher.stop()
    for (const filter of outdatedItemFilters) filter.stop()
    crashReporter.stop()
    streamVersions.stop()
    reachability.stop()
    relayClient.drain()
    secretKeeper.stop()
    memoryWatch.stop()
    await Promise.race([registrar.stop(), delay(gatewayConstants.stopReserveMs / 2)])
    cells.stop()
    stages.stop()
    await transport.stop()
    storeClient.close()
    readinessServer.stop()
    directoryServer?.stop()
    metricsServer.stop()
    errorGuard.stop()
  }

  private async startInternalServers (waiter: AddressWaiter): Promise<void> {
    const { readinessServer, directoryServer, transport, hosts, logger } = this.components
    const { readinessAddress, directoryAddress, ipAddress, firstPeerPort, lastPeerPort } = this.components.settings.get()
    const startServer = async (server: StatusServer, address: string): Promise<void> => {
      await waiter.open(address, async () => { await server.start(address) })
    }
    await Promise.all([
      readinessAddress === undefined ? undefined : startServer(readinessServer, readinessAddress),
      directoryServer === undefined || directoryAddress === undefined ? undefined : startServer(directoryServer, directoryAddress)
    ])
    this.startMetricsServer().catch(error => {
      if (!this.stopping.signal.aborted) logger.recordError('metrics not served', { reason: (error as Error).message })
    })
    const portCount = Math.max(lastPeerPort - firstPeerPort, 0) + 1
    const peerAddresses = Array.from({ length: portCount }, (_, index) => `${ipAddress}:${firstPeerPort + index}`)
    const port = await waiter.openAny(peerAddresses, async address => await transport.start(address))
    hosts.updateSelf({ ...hosts.getSelf(), peerAddress: `${ipAddress}:${port}` })
    logger.recordInfo('peer server started', { port })
  }

  /** Requests are served without metrics, too, so the start does not wait for their address. */
  private async startMetricsServer (): Promise<void> {
    const { metricsServer, metricsAddress, clock, logger } = this.components
    const retryMs = listenerConstants.optionalAddressRetryMs
    const waiter = new AddressWaiter({ limitMs: Infinity, retryMs, stopSignal: this.stopping.signal, clock, logger })
    await waiter.open(metricsAddress, async () => { await metricsServer.start(metricsAddress) })
  }
}
