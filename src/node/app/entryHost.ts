import type { Server } from 'node:http'
import { availableParallelism } from 'node:os'
import { setTimeout as delay } from 'node:timers/promises'
import { computeStopTimes } from './computeStopTimes.js'
import { gatewayConstants } from './gatewayConstants.js'
import { LoopTurns } from './loopTurns.js'
import { AddressWaiter } from '../listeners/addressWaiter.js'
import { listenerConstants } from '../listeners/constants.js'
import { openListener } from '../listeners/openListener.js'
import { systemClock } from '../../shared/systemClock.js'
import { waitUnlessAborted } from '../../shared/waitUnlessAborted.js'
import type { HostList } from '../../types/hostList.js'
import type { KeyValueService } from '../../types/keyValueService.js'
import type { Logger } from '../../types/logger.js'
import type { RunningHost } from '../cli/runningHost.js'
import type { createContracts } from '../contracts/createContracts.js'
import type { createMembership } from '../membership/createMembership.js'
import type { createGrpcPeerTransport } from '../peers/createGrpcPeerTransport.js'
import type { createAccountLimiter } from '../limits/createAccountLimiter.js'
import type { PlacementDriver } from '../placement/placementDriver.js'
import type { Drain } from '../requests/drain.js'
import type { RequestService } from '../requests/requestService.js'
import { serverConstants } from '../server/constants.js'
import type { ResolvedSettings } from '../settings/resolvedSettings.js'
import type { HostListPoller } from '../upstreams/hostListPoller.js'
import type { UpstreamSet } from '../upstreams/upstreamSet.js'

interface EntryHostComponents {
  readonly settings: ResolvedSettings
  readonly listen: string
  readonly peerListen: string
  readonly logger: Logger
  readonly server: Server
  readonly transport: ReturnType<typeof createGrpcPeerTransport>
  readonly membership: ReturnType<typeof createMembership>
  readonly contracts: ReturnType<typeof createContracts>
  readonly limiter: ReturnType<typeof createAccountLimiter>
  readonly drain: Drain
  readonly placement: PlacementDriver
  readonly poller: HostListPoller
  readonly upstreams: UpstreamSet
  readonly requests: RequestService
  readonly keyValue: KeyValueService & { close (): Promise<void> }
  readonly hostList: HostList & { close (): Promise<void> }
}

/** Part of the drain timeout that is kept for the last steps of the process, and the most of it. */
const entryReserveShare = 0.1
const maxEntryReserveMs = 500

/** A running entry host: starts its components in the order of their dependencies and stops them in reverse. */
export class EntryHost implements RunningHost {
  private stopping: Promise<void> | undefined
  private readonly turns = new LoopTurns(systemClock.readMonotonicMs())
  private turnTimer: NodeJS.Timeout | undefined
  private readonly stopped: Promise<void>
  private settleStopped!: { resolve: () => void, reject: (error: unknown) => void }

  constructor (private readonly components: EntryHostComponents) {
    this.stopped = new Promise((resolve, reject) => { this.settleStopped = { resolve, reject } })
  }

  /** Resolves when the host is ready, or when it serves and `stopSignal` is aborted; rejects with its reason before that. */
  async start (stopSignal?: AbortSignal): Promise<void> {
    const { settings, listen, peerListen, logger, server, transport } = this.components
    const limitMs = settings.drainTimeoutMs + listenerConstants.addressWaitMarginMs
    this.turnTimer = setInterval(() => {
      this.turns.recordTurn(systemClock.readMonotonicMs())
    }, gatewayConstants.turnIntervalMs).unref()
    const waiter = new AddressWaiter({ limitMs, stopSignal, clock: systemClock, logger })
    await waiter.open(peerListen, async () => await transport.start(peerListen))
    await waiter.open(listen, async () => { await this.openServer(listen, server) })
    logger.recordInfo('listening', { address: listen, peerAddress: peerListen })
    await waitUnlessAborted(this.startServices(), stopSignal).catch(error => {
      if (stopSignal?.aborted !== true) throw error
    })
  }

  /** Starts the planned stop, which is over within the drain timeout of the settings, whatever it still waits for. */
  drain (): void {
    if (this.stopping !== undefined) return
    const { settings, logger, requests } = this.components
    const nowMs = systemClock.readMonotonicMs()
    const arrivedAtMs = this.turns.computeArrivalMs(nowMs)
    const lagMs = this.turns.computeLagMs(nowMs)
    const { drainTimeoutMs } = settings
    // The share of a core that the process gets is not known here, so it ends a little earlier.
    const gracePeriodMs = drainTimeoutMs - Math.min(drainTimeoutMs * entryReserveShare, maxEntryReserveMs)
    const times = computeStopTimes({ arrivedAtMs, gracePeriodMs, cores: availableParallelism(), lagMs })
    logger.recordInfo('drain started', {
      running: requests.runningCount,
      lagMs: Math.round(lagMs),
      endsInMs: Math.round(times.endAtMs - nowMs),
      exitsInMs: Math.round(times.exitAtMs - nowMs)
    })
    const exitTimer = setTimeout(() => {
      logger.recordWarning('stop cut short', { unfinishedRequests: requests.runningCount, reason: 'the drain timeout ends' })
      this.settleStopped.resolve()
    }, Math.max(times.exitAtMs - nowMs, 0))
    this.stopping = this.runDrain(Math.max(times.endAtMs - nowMs, 0)).finally(() => { clearTimeout(exitTimer) })
    this.stopping.then(this.settleStopped.resolve, this.settleStopped.reject)
  }

  async waitUntilStopped (): Promise<void> {
    await this.stopped
  }

  /** Starts what depends on other services; ends early when the host is to stop. */
  private async startServices (): Promise<void> {
    const { logger, membership, contracts, limiter, placement, poller, upstreams, requests } = this.components
    await membership.start()
    if (this.stopping !== undefined) return
    await contracts.start()
    if (this.stopping !== undefined) return
    limiter.start()
    await poller.start()
    if (this.stopping !== undefined) return
    upstreams.start()
    requests.start()
    placement.start()
    logger.recordInfo('ready', { hosts: membership.listHosts().length, contracts: contracts.store.list().length })
  }

  private async runDrain (timeoutMs: number): Promise<void> {
    const { logger, drain, requests } = this.components
    const timeout = new AbortController()
    const expired = delay(timeoutMs, undefined, { signal: timeout.signal })
      .then(() => logger.recordWarning('drain timeout reached with requests still running', { running: requests.runningCount }))
      .catch(() => {})
    await Promise.race([drain.start(), expired])
    timeout.abort()
    await this.stopComponents()
  }

  private async stopComponents (): Promise<void> {
    const { logger, server, transport, membership, contracts, limiter, placement, poller, upstreams, requests, keyValue, hostList } = this.components
    clearInterval(this.turnTimer)
    server.close()
    server.closeAllConnections()
    poller.stop()
    requests.stop()
    limiter.stop()
    await placement.stop()
    contracts.stop()
    await upstreams.stop()
    await membership.stop()
    await transport.stop()
    await keyValue.close()
    await hostList.close()
    logger.recordInfo('stopped')
  }

  private async openServer (listen: string, server: Server): Promise<void> {
    const separator = listen.lastIndexOf(':')
    const host = listen.slice(0, separator).replace(/^\[|\]$/g, '')
    await openListener(server, { port: Number(listen.slice(separator + 1)), host, backlog: serverConstants.listenBacklog })
  }
}
