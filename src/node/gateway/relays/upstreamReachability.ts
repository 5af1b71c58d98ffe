import { chooseProbeTargets } from './chooseProbeTargets.js'
import { LinkEvidence } from './linkEvidence.js'
import { relayConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { ProbeTarget } from './probeTarget.js'
import type { Random } from '../../../types/random.js'
import type { TrafficObserver } from '../upstreams/trafficObserver.js'

interface ReachabilityOptions {
  readonly listTargets: () => readonly ProbeTarget[]
  /** Resolves to whether an upstream answers on a new connection. */
  readonly checkAnswers: (target: ProbeTarget) => Promise<boolean>
  /** The host was cut off, or reaches the upstreams again. */
  readonly onChanged: (isCutOff: boolean) => void
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}

/**
 * Recognizes that this host has lost its links to all upstreams. Its own traffic gives the sign; probes of a few
 * upstreams decide, and also tell when the links work again. One upstream or one service that fails is left to the
 * choice of upstreams.
 */
export class UpstreamReachability implements TrafficObserver {
  private readonly evidence: LinkEvidence
  private isCut = false
  private checkedAtMs = -Infinity
  private runningCheck: Promise<void> | undefined
  private observeTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: ReachabilityOptions) {
    this.evidence = new LinkEvidence(() => options.clock.readMonotonicMs())
  }

  start (): void {
    this.observeTimer = setInterval(() => { this.onTick() }, relayConstants.observeIntervalMs)
    this.observeTimer.unref()
  }

  stop (): void {
    clearInterval(this.observeTimer)
  }

  isCutOff (): boolean {
    return this.isCut
  }

  /** Resolves when no check of the links is running. */
  async waitForCheck (): Promise<void> {
    await this.runningCheck
  }

  /** Resolves to whether this host reaches upstreams, as heard since a time or checked now. */
  async checkReached (sinceMs: number): Promise<boolean> {
    if (this.isCut) return false
    if (this.evidence.hasBytesSince(sinceMs)) return true
    await this.checkLinks('an upstream has ended')
    return !this.isCut
  }

  onExchangeStarted (): void {
    this.evidence.onExchangeStarted()
  }

  onExchangeEnded (): void {
    this.evidence.onExchangeEnded()
  }

  onBytes (): void {
    this.evidence.onBytes()
  }

  onConnected (): void {
    this.evidence.onConnected()
  }

  onConnectFailed (upstreamId: string): void {
    this.evidence.onConnectFailed(upstreamId)
    this.checkIfDue()
  }

  private onTick (): void {
    const elapsedMs = this.options.clock.readMonotonicMs() - this.checkedAtMs
    const isRecheckDue = this.isCut && elapsedMs >= relayConstants.recheckMs
    if (isRecheckDue) this.startCheck('cut off')
    else this.checkIfDue()
  }

  private checkIfDue (): void {
    const sign = this.isCut ? undefined : this.evidence.findSign()
    if (sign !== undefined) this.startCheck(sign)
  }

  private startCheck (cause: string): void {
    this.checkLinks(cause).catch(error => {
      this.options.logger.recordError('check of the links failed unexpectedly', { reason: (error as Error).message })
    })
  }

  /** All who ask at the same time get the result of one check. */
  private async checkLinks (cause: string): Promise<void> {
    this.runningCheck ??= this.checkTargets(cause).finally(() => { this.runningCheck = undefined })
    await this.runningCheck
  }

  private async checkTargets (cause: string): Promise<void> {
    const { listTargets, checkAnswers, clock, random, metrics } = this.options
    const targets = chooseProbeTargets(listTargets(), relayConstants.probesPerCheck, random)
    if (targets.length === 0) return
    metrics.addCount('upstream_link_checks', { cause })
    const [first, ...others] = targets as [ProbeTarget, ...ProbeTarget[]]
    const isFirstReached = await checkAnswers(first)
    // One probe confirms the present state; the others are needed to change it.
    const isConfirmed = isFirstReached !== this.isCut
    const results = isConfirmed ? [] : await Promise.all(others.map(checkAnswers))
    const reachedCount = [isFirstReached, ...results].filter(isReached => isReached).length
    this.checkedAtMs = clock.readMonotonicMs()
    this.evidence.removeSigns()
    if (isConfirmed) return
    // One that answers shows that the links work; most have to answer before the links are used again.
    const isCut = this.isCut ? reachedCount * 2 <= targets.length : reachedCount === 0
    if (isCut !== this.isCut) this.applyState(isCut, { cause, probed: targets.length, reached: reachedCount })
  }

  private applyState (isCut: boolean, fields: Readonly<Record<string, string | number>>): void {
    const { logger, metrics, onChanged } = this.options
    this.isCut = isCut
    metrics.setGauge('cut_off_from_upstreams', {}, isCut ? 1 : 0)
    if (isCut) logger.recordWarning('cut off from upstreams', fields)
    else logger.recordInfo('upstreams reached again', fields)
    onChanged(isCut)
  }
}
