import type { AnswerMemory } from '../gateway/answers/answerMemory.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'
import type { Random } from '../../types/random.js'
import type { StageRouter } from '../../types/stageRouter.js'
import type { Upstream } from '../../types/upstream.js'
import { ConnectedUpstream } from './connectedUpstream.js'
import { upstreamConstants } from './constants.js'
import type { ModelEngine } from './modelEngine.js'
import type { PlainService } from './plainService.js'
import type { StagePoolMember } from './stagePoolMember.js'
import type { RunnerModels } from './runnerModels.js'
import { StreamWatchdog } from './streamWatchdog.js'
import type { UpstreamLookup } from './upstreamLookup.js'

interface UpstreamSetOptions {
  /** Memory for the answers of all upstreams together. */
  readonly answerMemory: AnswerMemory
  readonly router: StageRouter
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  /** True for pools of model engines, which publish cache events. */
  readonly isEnginePool: (pool: string) => boolean
  /** Called each time an upstream reports that it is leaving, after the router has been notified. */
  readonly onLeaving?: (upstreamId: string) => void
  /** @default 512 */
  readonly maxConnections?: number
  /** @default 2000 */
  readonly streamSilenceMs?: number
  /** @default 1000 */
  readonly probeIntervalMs?: number
}

/** The upstreams that this host connects to, each probed every second. */
export class UpstreamSet implements UpstreamLookup {
  private readonly members = new Map<string, ConnectedUpstream>()
  private readonly watchdog: StreamWatchdog
  private timers: NodeJS.Timeout[] = []
  private isStarted = false

  constructor (private readonly options: UpstreamSetOptions) {
    const silenceMs = options.streamSilenceMs ?? upstreamConstants.streamSilenceMs
    this.watchdog = new StreamWatchdog(options.clock, Math.min(upstreamConstants.silenceCheckIntervalMs, silenceMs / 4))
  }

  /**
   * Replaces the known upstreams here and in the router. Connections to removed upstreams close once their calls have
   * ended.
   */
  applyUpstreams (upstreams: readonly Upstream[]): void {
    const present = new Map(upstreams.map(upstream => [upstream.id, upstream]))
    for (const [id, member] of this.members) {
      if (present.get(id)?.address === member.upstream.address) continue
      this.members.delete(id)
      member.client.closePooledConnections()
    }
    for (const upstream of upstreams) {
      if (!this.members.has(upstream.id)) this.members.set(upstream.id, this.createMember(upstream))
    }
    this.options.router.applyUpstreams(upstreams, this.options.clock.readMonotonicMs())
  }

  findEngine (upstreamId: string): ModelEngine | undefined {
    return this.members.get(upstreamId)?.engine
  }

  findStagePoolMember (upstreamId: string): StagePoolMember | undefined {
    return this.members.get(upstreamId)?.stagePoolMember
  }

  findPlainService (upstreamId: string): PlainService | undefined {
    return this.members.get(upstreamId)?.plainService
  }

  /** Lists live upstreams that report which models they have loaded. */
  listRunners (): readonly RunnerModels[] {
    return [...this.members.values()].flatMap(({ upstream, models }) => models === undefined || upstream.state !== 'live'
      ? []
      : [{ upstreamId: upstream.id, failureDomain: upstream.failureDomain, models }])
  }

  closePooledConnections (upstreamId: string): void {
    this.members.get(upstreamId)?.client.closePooledConnections()
  }

  /** Starts probing. */
  start (): void {
    this.isStarted = true
    this.scheduleProbes()
  }

  async stop (): Promise<void> {
    this.isStarted = false
    this.timers.forEach(clearTimeout)
    for (const member of this.members.values()) member.client.close()
    this.members.clear()
  }

  /**
   * Schedules a probe of every upstream in each interval, at random times so that the probes of many hosts do not
   * coincide.
   */
  private scheduleProbes (): void {
    if (!this.isStarted) return
    const intervalMs = this.options.probeIntervalMs ?? upstreamConstants.probeIntervalMs
    this.timers = [...this.members.values()].map(member =>
      setTimeout(() => { this.runProbe(member).catch(() => {}) }, this.options.random() * intervalMs / 2).unref())
    this.timers.push(setTimeout(() => this.scheduleProbes(), intervalMs).unref())
  }

  private async runProbe (member: ConnectedUpstream): Promise<void> {
    if (member.isProbing || !this.isStarted) return
    member.isProbing = true
    const { id, pool } = member.upstream
    try {
      const signal = AbortSignal.timeout(upstreamConstants.probeTimeoutMs)
      const probe = await member.engine.readLoad(signal)
      if (probe.leaving) this.reportLeaving(id)
      member.models = probe.load?.models
      if (probe.load !== undefined) this.options.router.onLoadReport({ upstreamId: id, ...probe.load }, this.options.clock.readMonotonicMs())
      if (this.options.isEnginePool(pool)) await this.loadCacheEvents(member, signal)
    } catch (error) {
      this.options.logger.recordDebug('probe failed', { upstreamId: id, reason: String(error) })
    } finally {
      member.isProbing = false
    }
  }

  private async loadCacheEvents (member: ConnectedUpstream, signal: AbortSignal): Promise<void> {
    const { router, clock } = this.options
    const { id } = member.upstream
    const report = await member.engine.listCacheEvents(member.cacheEventSeq, signal)
    const nowMs = clock.readMonotonicMs()
    if (report.latest < member.cacheEventSeq) {
      // The engine has restarted with an empty cache, and its sequence numbers start again.
      member.cacheEventSeq = 0
      router.onCacheEvent(id, 'gap', '', nowMs)
      return
    }
    for (const event of report.events) {
      if (event.seq <= member.cacheEventSeq) continue
      if (event.seq > member.cacheEventSeq + 1) router.onCacheEvent(id, 'gap', '', nowMs)
      router.onCacheEvent(id, event.type, event.prefixHash, nowMs)
      member.cacheEventSeq = event.seq
    }
    if (report.latest > member.cacheEventSeq) {
      router.onCacheEvent(id, 'gap', '', nowMs)
      member.cacheEventSeq = report.latest
    }
  }

  private createMember (upstream: Upstream): ConnectedUpstream {
    return new ConnectedUpstream({
      upstream,
      answerMemory: this.options.answerMemory,
      clock: this.options.clock,
      watchdog: this.watchdog,
      maxConnections: this.options.maxConnections,
      streamSilenceMs: this.options.streamSilenceMs,
      onLeaving: () => { this.reportLeaving(upstream.id) }
    })
  }

  private reportLeaving (upstreamId: string): void {
    this.options.router.onLeaving(upstreamId, this.options.clock.readMonotonicMs())
    this.options.onLeaving?.(upstreamId)
  }
}
