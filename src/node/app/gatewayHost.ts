import { setTimeout as delay } from 'node:timers/promises'
import { gatewayConstants } from './gatewayConstants.js'
import type { GatewayParts } from './gatewayParts.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { ReloadableHost } from '../cli/reloadableHost.js'

/** A host on the platform, from its start to the end of its drain. */
export class GatewayHost implements ReloadableHost {
  private readonly stopped: Promise<void>
  private resolveStopped = (): void => {}
  private isDraining = false
  private areUpstreamsLoaded = false
  private missingTimer: NodeJS.Timeout | undefined

  constructor (private readonly parts: GatewayParts) {
    this.stopped = new Promise(resolve => { this.resolveStopped = resolve })
  }

  async start (): Promise<void> {
    const settings = this.parts.settings.get()
    const { ingress, readiness, directoryServer, metricsServer, configurationFollower, upstreamFollower, hostFollower, logger } = this.parts
    await Promise.all([
      readiness.start(settings.readinessAddress),
      directoryServer !== undefined && settings.directoryAddress !== undefined ? directoryServer.start(settings.directoryAddress) : undefined,
      metricsServer.start(this.parts.metricsAddress),
      ingress.start(settings.clientAddress)
    ])
    for (const follower of [configurationFollower, upstreamFollower, hostFollower]) this.runFollower(follower)
    await this.startPeers()
    this.missingTimer = setInterval(() => { this.parts.upstreams.removeMissing() }, gatewayConstants.missingCheckMs)
    logger.recordInfo('host started', { clientAddress: settings.clientAddress, cores: settings.cores })
  }

  /** Takes new connections. */
  isReady (): boolean {
    return !this.isDraining && this.areUpstreamsLoaded && this.parts.configuration.getCurrent() !== undefined
  }

  onUpstreamsLoaded (): void {
    this.areUpstreamsLoaded = true
    this.updateEntry()
  }

  /** Publishes this host's state when it has changed. */
  updateEntry (): void {
    const { hosts, registrar } = this.parts
    const entry = hosts.getSelf()
    if (entry.isReady === this.isReady()) return
    hosts.updateSelf({ ...entry, isReady: this.isReady() })
    this.parts.logger.recordInfo('readiness changed', { isReady: this.isReady() })
    registrar.updateNow()
  }

  applySettings (settings: HostSettings): void {
    this.parts.settings.apply(settings)
  }

  recordSettingsFault (message: string): void {
    this.parts.logger.recordError('settings not readable', { reason: message, outcome: 'the old settings stay' })
  }

  drain (): void {
    if (this.isDraining) return
    this.isDraining = true
    this.parts.logger.recordInfo('drain started', { requests: this.parts.ingress.requestCount })
    const { clock, settings } = this.parts
    const startMs = clock.readMonotonicMs()
    const endMs = startMs + settings.get().timings.gracePeriodMs - gatewayConstants.stopReserveMs
    this.parts.ingress.startClosing(endMs)
    this.updateEntry()
    this.runDrain(startMs, endMs).catch(error => {
      this.parts.logger.recordError('drain failed', { reason: (error as Error).message })
      this.resolveStopped()
    })
  }

  async waitUntilStopped (): Promise<void> {
    await this.stopped
  }

  /** Serves what clients still send while they learn other addresses, then closes the connections that are left. */
  private async runDrain (startMs: number, endMs: number): Promise<void> {
    const { ingress, logger, clock } = this.parts
    await delay(Math.min(gatewayConstants.lingerMs, Math.max(endMs - startMs, 0)))
    const closed = ingress.stop()
    const closing = setInterval(() => { ingress.closeIdle() }, gatewayConstants.idleCloseMs)
    await Promise.race([closed, delay(Math.max(endMs - clock.readMonotonicMs(), 0))])
    clearInterval(closing)
    const unfinishedRequests = ingress.requestCount
    ingress.endRequests()
    if (unfinishedRequests > 0) await delay(gatewayConstants.lastAnswersMs)
    logger.recordInfo('host stopped', { unfinishedRequests, drainMs: Math.round(clock.readMonotonicMs() - startMs) })
    await this.stopParts()
    this.resolveStopped()
  }

  private async stopParts (): Promise<void> {
    const {
      registrar,
      configurationFollower,
      upstreamFollower,
      hostFollower,
      transport,
      storeLink,
      readiness,
      directoryServer,
      metricsServer,
      dispatcher
    } = this.parts
    clearInterval(this.missingTimer)
    for (const follower of [configurationFollower, upstreamFollower, hostFollower]) follower.stop()
    await Promise.race([registrar.stop(), delay(gatewayConstants.stopReserveMs / 2)])
    dispatcher.stop()
    await transport.stop()
    storeLink.close()
    readiness.stop()
    directoryServer?.stop()
    metricsServer.stop()
  }

  private async startPeers (): Promise<void> {
    const { transport, registrar, logger } = this.parts
    const settings = this.parts.settings.get()
    const port = await transport.start(`${settings.ipAddress}:${settings.firstPeerPort}`)
    logger.recordInfo('peer server started', { port })
    registrar.updateNow()
  }

  private runFollower (follower: GatewayParts['hostFollower']): void {
    follower.run().catch(error => { this.parts.logger.recordError('store follower failed', { reason: (error as Error).message }) })
  }
}
