import { computeBackoffMs } from './computeBackoffMs.js'
import { computeLimitLifetimeMs } from './computeLimitLifetimeMs.js'
import { LeavingInstances } from './leavingInstances.js'
import { LimitShare } from './limitShare.js'
import { upstreamConstants } from './constants.js'
import { UpstreamPool } from './upstreamPool.js'
import { UpstreamState } from './upstreamState.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { Clock } from '../../../types/clock.js'
import type { ExchangeSender } from './exchangeSender.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { TrafficObserver } from './trafficObserver.js'
import type { UpstreamDemands } from '../model/upstreamDemands.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'
import type { UpstreamLimit } from './upstreamLimit.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

interface DirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly decodeResponse: ResponseDecoder
  /** Largest number of connections that this host may hold to one upstream of a service. */
  readonly getConnectionLimit: (service: string) => number
  /** Part of an upstream's request limit that this host may use, from 0 to 1. */
  readonly computeLimitShare: (upstreamId: string) => number
  readonly countHosts: () => number
  readonly traffic: TrafficObserver
  /** Way to an upstream by way of another host; undefined while this host uses its own connections. */
  readonly findRelay: (upstreamId: string) => ExchangeSender | undefined
  readonly onChanged: () => void
  readonly onRemoved: (upstreamId: string) => void
}

/** The upstreams that are registered in the store, with their connections. */
export class UpstreamDirectory {
  private readonly states = new Map<string, UpstreamState>()
  private readonly byService = new Map<string, UpstreamState[]>()
  private readonly leaving = new LeavingInstances()
  private limitSharesUpdatedAtMs = 0

  constructor (private readonly options: DirectoryOptions) {}

  /** Applies a complete list of upstreams. After a store outage, upstreams that are missing from it are kept for a grace period. */
  applySnapshot (entries: readonly UpstreamEntry[], isAfterOutage: boolean): void {
    const ids = new Set(entries.map(entry => entry.id))
    const nowMs = this.options.clock.readMonotonicMs()
    for (const state of this.states.values()) {
      if (ids.has(state.entry.id)) continue
      if (isAfterOutage) state.removeAtMs = nowMs + upstreamConstants.missingEntryGraceMs
      else this.removeUpstream(state.entry.id, 'missing from the store snapshot')
    }
    for (const entry of entries) this.applyEntry(entry)
    this.options.onChanged()
  }

  applyEntry (published: UpstreamEntry): void {
    const entry = this.leaving.has(published) ? { ...published, isDraining: true } : published
    const known = this.states.get(entry.id)
    if (known !== undefined && known.entry.address === entry.address && known.entry.service === entry.service) {
      if (known.entry.isDraining !== entry.isDraining) {
        this.recordChange(
          entry.isDraining ? 'upstream draining' : 'upstream ready',
          entry,
          this.leaving.has(entry) ? 'it says so in its answers' : 'the draining flag of the store entry changed'
        )
      }
      if (known.entry.startedAtMs !== entry.startedAtMs) {
        known.onStartedAgain()
        this.recordChange('upstream started again', entry, 'the start time in the store entry changed')
      }
      known.entry = entry
      known.removeAtMs = undefined
    } else {
      if (known !== undefined) this.removeUpstream(entry.id, 'address or service changed')
      this.addUpstream(entry)
    }
    this.options.onChanged()
  }

  removeUpstream (id: string, reason: string): void {
    const state = this.states.get(id)
    if (state === undefined) return
    this.states.delete(id)
    const { service } = state.entry
    this.byService.set(service, (this.byService.get(service) ?? []).filter(other => other !== state))
    state.pool.close()
    this.options.onRemoved(id)
    this.recordChange('upstream gone', state.entry, reason)
    this.options.onChanged()
  }

  /** Removes upstreams whose entries are still missing after the grace period that follows a store outage. */
  removeMissing (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const state of [...this.states.values()]) {
      if (state.removeAtMs !== undefined && state.removeAtMs <= nowMs) this.removeUpstream(state.entry.id, 'still missing after a store outage')
    }
  }

  /**
   * Forgets failures and idle connections, because the links of this host were cut or work again: neither says anything
   * of the upstreams.
   */
  applyLinkChange (): void {
    for (const state of this.states.values()) {
      state.removeFailures()
      state.pool.closeIdle()
    }
  }

  /** Upstreams that want requests, for checks of the links. */
  listOpen (): readonly UpstreamState[] {
    const nowMs = this.options.clock.readMonotonicMs()
    return [...this.states.values()].filter(state => state.isOpen(nowMs))
  }

  find (id: string): UpstreamState | undefined {
    return this.states.get(id)
  }

  /** All upstreams of a service, including draining ones. */
  listService (service: string): readonly UpstreamState[] {
    return this.byService.get(service) ?? []
  }

  /**
   * Upstreams of a service that may get a new request now, also within the limits that they named. While there are
   * limits, the other upstreams get as many requests as they have places: all traffic would move to one that has not
   * answered yet. With a version, only upstreams of this software version.
   */
  listUsable (service: string, version?: string): readonly UpstreamState[] {
    const nowMs = this.options.clock.readMonotonicMs()
    const healthy = this.listHealthy(service, nowMs, version)
    if (!this.hasLimits(service)) return healthy
    return healthy.filter(state => {
      return state.limit === undefined ? this.hasPlace(state) : this.computeLimitWaitMs(state, nowMs) === 0
    })
  }

  /**
   * Time until an upstream of a service may get a request within its limit; 0 when one may now, or when there is none.
   */
  computeServiceWaitMs (service: string): number {
    const nowMs = this.options.clock.readMonotonicMs()
    const healthy = this.listHealthy(service, nowMs)
    return healthy.length === 0 ? 0 : Math.min(...healthy.map(state => this.computeLimitWaitMs(state, nowMs)))
  }

  /** Time until the first upstream of a service wants requests again; 0 when one wants them now or there is none. */
  computeBackoffWaitMs (service: string): number {
    const nowMs = this.options.clock.readMonotonicMs()
    const waitsMs = this.listService(service)
      .filter(state => !state.entry.isDraining)
      .map(state => state.pausedUntilMs - nowMs)
    return waitsMs.length === 0 ? 0 : Math.max(Math.min(...waitsMs), 0)
  }

  /** Whether an upstream of a service that may get requests has named a limit. */
  hasLimits (service: string): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    return this.listHealthy(service, nowMs).some(state => this.findLimit(state, nowMs) !== undefined)
  }

  /** Whether an upstream may get a request, its limit aside. */
  isAvailable (state: UpstreamState): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    const isHealthy = state.isOpen(nowMs) && !state.isEjected(nowMs)
    return isHealthy && this.states.get(state.entry.id) === state && state.pool.hasFreeConnection()
  }

  /** Mean of the measured durations of requests to a service; 0 before the first one. */
  computeUsualDurationMs (service: string): number {
    const nowMs = this.options.clock.readMonotonicMs()
    const durationsMs = this.listService(service)
      .map(state => state.computeDurationMs(nowMs))
      .filter(durationMs => durationMs > 0)
    const sumMs = durationsMs.reduce((sum, durationMs) => sum + durationMs, 0)
    return sumMs / Math.max(durationsMs.length, 1)
  }

  /** What an upstream has asked for in its answers; undefined when the upstream is gone. */
  findDemands (id: string): UpstreamDemands | undefined {
    const state = this.states.get(id)
    if (state === undefined) return undefined
    return { requestsPerSecond: state.limit?.requestsPerSecond, backoffUntilMs: state.pausedUntilMs }
  }

  /**
   * Upstreams that are not leaving and have not asked for a pause. Ejected upstreams are left out, unless too many are
   * ejected: then the cause of the failures is more likely on this host's side. With a version, only its upstreams count.
   */
  private listHealthy (service: string, nowMs: number, version?: string): readonly UpstreamState[] {
    const usable = this.listService(service).filter(state => {
      return state.isOpen(nowMs) && (version === undefined || state.entry.version === version)
    })
    const healthy = usable.filter(state => !state.isEjected(nowMs))
    return healthy.length >= usable.length * (1 - upstreamConstants.maxEjectedShare) ? healthy : usable
  }

  private addUpstream (entry: UpstreamEntry): void {
    const { metrics, traffic, findRelay } = this.options
    const pool = new UpstreamPool({
      address: entry.address,
      decodeResponse: this.options.decodeResponse,
      getConnectionLimit: () => this.options.getConnectionLimit(entry.service),
      upstreamId: entry.id,
      traffic: {
        onExchangeStarted: () => { traffic.onExchangeStarted() },
        onExchangeEnded: () => { traffic.onExchangeEnded() },
        onBytes: () => { traffic.onBytes() },
        onConnected: () => { traffic.onConnected() },
        onConnectFailed: id => {
          metrics.addCount('upstream_connections_failed', { service: entry.service })
          traffic.onConnectFailed(id)
        }
      },
      findRelay: () => findRelay(entry.id),
      onOpened: () => {
        metrics.addCount('upstream_connections_opened', { service: entry.service })
        traffic.onConnected()
      },
      onHead: head => {
        this.observeLeaving(state, head)
        this.observeLimit(state, head)
        this.observeBackoff(state, head)
      }
    })
    const state: UpstreamState = new UpstreamState(entry, pool)
    this.states.set(entry.id, state)
    this.byService.set(entry.service, [...this.byService.get(entry.service) ?? [], state])
    this.recordChange('upstream added', entry, entry.isDraining ? 'registered as draining' : 'registered as ready')
  }

  /** Whether the requests of this host take less than its part of the upstream's places. */
  private hasPlace ({ entry, inFlight }: UpstreamState): boolean {
    return inFlight < Math.max(Math.ceil(entry.slots / this.options.countHosts()), upstreamConstants.minPlaces)
  }

  private computeLimitWaitMs (state: UpstreamState, nowMs: number): number {
    return this.findLimit(state, nowMs)?.share.computeWaitMs(nowMs) ?? 0
  }

  /** The limit of an upstream with this host's current share of it. */
  private findLimit (state: UpstreamState, nowMs: number): UpstreamLimit | undefined {
    if (state.limit === undefined) return undefined
    if (state.limit.endsAtMs <= nowMs) {
      this.recordLimit(state, undefined, 'no answer for long')
      state.limit = undefined
      return undefined
    }
    this.updateLimitShares(nowMs)
    return state.limit
  }

  /** Chooses the hosts that share the limits again, because hosts come and go. */
  private updateLimitShares (nowMs: number): void {
    if (nowMs - this.limitSharesUpdatedAtMs < upstreamConstants.limitShareRefreshMs) return
    this.limitSharesUpdatedAtMs = nowMs
    for (const { entry, limit } of this.states.values()) {
      limit?.share.setRate(limit.requestsPerSecond * this.options.computeLimitShare(entry.id), nowMs)
    }
  }

  /** What an upstream says of its stop holds for this instance, whatever the store says later. */
  private observeLeaving ({ entry }: UpstreamState, { isLeaving }: UpstreamResponseHead): void {
    if (!isLeaving || this.leaving.has(entry)) return
    this.leaving.add(entry)
    this.options.metrics.addCount('upstreams_leaving_seen', { service: entry.service })
    if (this.states.get(entry.id)?.entry === entry) this.applyEntry(entry)
  }

  private observeLimit (state: UpstreamState, { requestLimit }: UpstreamResponseHead): void {
    const before = state.limit
    if (requestLimit === undefined && before === undefined) return
    const { clock, logger, countHosts, computeLimitShare } = this.options
    const { id, service } = state.entry
    // A limit that cannot be read says neither that there is none nor how much the upstream takes.
    if (requestLimit === 'unreadable') {
      const limitInForce = before?.requestsPerSecond
      logger.recordWarning('upstream limit not readable', { upstream: id, service, limitInForce })
      return
    }
    if (requestLimit !== before?.requestsPerSecond) this.recordLimit(state, requestLimit, 'named in an answer')
    if (requestLimit === undefined) {
      state.limit = undefined
      return
    }
    const nowMs = clock.readMonotonicMs()
    const rate = requestLimit * computeLimitShare(id)
    const share = before?.share ?? new LimitShare(rate, nowMs)
    share.setRate(rate, nowMs)
    const endsAtMs = nowMs + computeLimitLifetimeMs(requestLimit, countHosts())
    state.limit = { requestsPerSecond: requestLimit, endsAtMs, share }
  }

  private observeBackoff ({ entry, backoff }: UpstreamState, head: UpstreamResponseHead): void {
    const { clock, logger, metrics } = this.options
    const { status, isMisdirected, backoffMs: statedMs } = head
    if (isMisdirected) {
      backoff.observeAnswer(upstreamConstants.replacedPauseMs, clock.readMonotonicMs())
      metrics.addCount('upstreams_replaced_seen', { service: entry.service })
      const { id, service, address } = entry
      logger.recordInfo('upstream not at its address any more', { upstream: id, service, address })
      return
    }
    const backoffMs = statedMs === undefined ? undefined : computeBackoffMs(statedMs)
    backoff.observeAnswer(backoffMs, clock.readMonotonicMs())
    if (backoffMs === undefined) return
    metrics.addCount('upstream_backoffs', { service: entry.service })
    const { id, service } = entry
    logger.recordInfo('upstream asked to back off', { upstream: id, service, status, statedMs, backoffMs })
  }

  private recordLimit (state: UpstreamState, requestsPerSecond: number | undefined, reason: string): void {
    const { id, service } = state.entry
    this.options.metrics.addCount('upstream_limit_changes', { service })
    this.options.logger.recordInfo(requestsPerSecond === undefined ? 'upstream limit ended' : 'upstream limit named', {
      upstream: id,
      service,
      requestsPerSecond,
      before: state.limit?.requestsPerSecond,
      reason
    })
  }

  private recordChange (message: string, entry: UpstreamEntry, reason: string): void {
    const { id, service, address, failureDomain, version } = entry
    const fields = { upstream: id, service, address, upstreamDomain: failureDomain, upstreamVersion: version, reason }
    this.options.logger.recordInfo(message, fields)
  }
}
