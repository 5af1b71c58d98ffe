import { BackoffCondition } from '../conditions/backoffCondition.js'
import { DrainingCondition } from '../conditions/drainingCondition.js'
import { LeavingInstances } from './leavingInstances.js'
import { LimitCondition } from '../conditions/limitCondition.js'
import { ProtocolErrorCondition } from '../conditions/protocolErrorCondition.js'
import { upstreamConstants } from './constants.js'
import { UpstreamConditions } from '../conditions/upstreamConditions.js'
import { UpstreamPool } from './upstreamPool.js'
import { UpstreamState } from './upstreamState.js'
import { UsableUpstreams } from './usableUpstreams.js'
import type { ResponseDecoder } from './responseDecoder.js'
import type { Clock } from '../../../types/clock.js'
import type { ExchangeRequest } from './exchangeRequest.js'
import type { ExchangeSender } from './exchangeSender.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { NamedBlock } from '../conditions/namedBlock.js'
import type { TrafficObserver } from './trafficObserver.js'
import type { UpstreamCondition } from '../conditions/upstreamCondition.js'
import type { UpstreamDemands } from '../model/upstreamDemands.js'
import type { UpstreamEntry } from '../model/upstreamEntry.js'
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
  /** Conditions that the operator sets. They hold for everything that is sent, also after an upstream was chosen. */
  readonly conditions?: readonly UpstreamCondition[]
  readonly onChanged: () => void
  readonly onRemoved: (upstreamId: string) => void
}

/** The upstreams that are registered in the store, with their connections. */
export class UpstreamDirectory {
  private readonly states = new Map<string, UpstreamState>()
  private readonly byService = new Map<string, UpstreamState[]>()
  private readonly usableByService = new Map<string, UsableUpstreams>()
  private readonly leaving = new LeavingInstances()
  /** Conditions that hold for everything that is sent. */
  private readonly sending: UpstreamConditions
  /** Conditions that may end, unlike draining. */
  private readonly passing: UpstreamConditions
  /** Conditions on which an upstream gets new work, ejection and limits aside. */
  private readonly opening: UpstreamConditions
  private readonly limits: LimitCondition

  constructor (private readonly options: DirectoryOptions) {
    const { logger, metrics, computeLimitShare, countHosts, conditions = [] } = options
    const passing = [
      new BackoffCondition(logger, metrics),
      new ProtocolErrorCondition(logger, metrics),
      ...conditions
    ]
    this.sending = new UpstreamConditions(conditions)
    this.passing = new UpstreamConditions(passing)
    this.opening = new UpstreamConditions([new DrainingCondition(), ...passing])
    const listUpstreams = (): Iterable<UpstreamState> => this.states.values()
    this.limits = new LimitCondition({ logger, metrics, computeLimitShare, countHosts, listUpstreams })
  }

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
      this.opening.observeEntry(known, this.options.clock.readMonotonicMs())
      this.getUsable(entry.service).onEntryChanged(known)
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
    this.getUsable(service).removeUpstream(state)
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
    return [...this.states.values()].filter(state => this.opening.isOpen(state, nowMs))
  }

  /** Whether an upstream gets new work, ejection and limits aside. */
  isOpen (state: UpstreamState): boolean {
    return this.opening.isOpen(state, this.options.clock.readMonotonicMs())
  }

  /** Everything that holds back one upstream, for explanations; empty when nothing does or the upstream is gone. */
  describeBlocks (upstreamId: string): readonly NamedBlock[] {
    const state = this.states.get(upstreamId)
    if (state === undefined) return []
    const nowMs = this.options.clock.readMonotonicMs()
    const ejected = { condition: 'ejected', waitMs: state.ejectedUntilMs - nowMs }
    const limited = this.limits.findBlock(state, nowMs)
    return [
      ...this.opening.listBlocks(state, nowMs),
      ...state.isEjected(nowMs) ? [ejected] : [],
      ...limited === undefined ? [] : [{ condition: this.limits.name, ...limited }]
    ]
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
    const usable = this.getUsable(service)
    const healthy = usable.listHealthy(version, nowMs)
    if (!usable.hasLimits || !this.hasLimitAmong(usable.listHealthy(undefined, nowMs), nowMs)) return healthy
    return healthy.filter(state => {
      return state.limit === undefined ? this.hasPlace(state) : this.limits.findBlock(state, nowMs) === undefined
    })
  }

  /**
   * Time until an upstream of a service may get a request within its limit; 0 when one may now, or when there is none.
   */
  computeServiceWaitMs (service: string): number {
    const nowMs = this.options.clock.readMonotonicMs()
    const usable = this.getUsable(service)
    const healthy = usable.listHealthy(undefined, nowMs)
    if (!usable.hasLimits) return 0
    return healthy.length === 0 ? 0 : Math.min(...healthy.map(state => this.limits.findBlock(state, nowMs)?.waitMs ?? 0))
  }

  /**
   * Time until the first upstream of a service wants requests again, or has room for one; 0 when one wants them now or
   * there is none. When it is not known, the time after which clients ask again.
   */
  computeBackoffWaitMs (service: string): number {
    const nowMs = this.options.clock.readMonotonicMs()
    if (this.getUsable(service).hasOpen(nowMs)) return 0
    const waitsMs = this.listService(service)
      .filter(state => !state.entry.isDraining)
      .map(state => this.passing.computeRoomWaitMs(state, nowMs))
    const waitMs = waitsMs.length === 0 ? 0 : Math.min(...waitsMs)
    return Number.isFinite(waitMs) ? waitMs : upstreamConstants.unknownWaitMs
  }

  /** Whether an upstream of a service that may get requests has named a limit. */
  hasLimits (service: string): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    const usable = this.getUsable(service)
    const healthy = usable.listHealthy(undefined, nowMs)
    return usable.hasLimits && this.hasLimitAmong(healthy, nowMs)
  }

  /** Whether a request that the upstream rejects is refused, and not sent to another upstream. */
  isRationed (state: UpstreamState): boolean {
    return this.passing.isRationed(state, this.options.clock.readMonotonicMs())
  }

  /** Whether an upstream may get a request, its limit aside. */
  isAvailable (state: UpstreamState): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    const isHealthy = this.opening.isOpen(state, nowMs) && !state.isEjected(nowMs)
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
    const nowMs = this.options.clock.readMonotonicMs()
    return {
      requestsPerSecond: state.limit?.requestsPerSecond,
      backoffUntilMs: state.pausedUntilMs,
      waitMs: this.passing.computeWaitMs(state, nowMs),
      places: this.passing.findPlaces(state, nowMs)
    }
  }

  private getUsable (service: string): UsableUpstreams {
    const known = this.usableByService.get(service)
    if (known !== undefined) return known
    const usable = new UsableUpstreams(this.opening)
    this.usableByService.set(service, usable)
    return usable
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
      findSendBlock: request => this.findSendBlock(state, request),
      onSent: ({ takesNoPlace }) => {
        this.opening.recordSent(state, this.options.clock.readMonotonicMs(), takesNoPlace !== true)
        state.onChanged()
      },
      onEnded: ({ takesNoPlace }, failure) => {
        this.opening.recordEnded(state, this.options.clock.readMonotonicMs(), takesNoPlace !== true, failure)
        state.onChanged()
      },
      onHead: head => {
        this.observeLeaving(state, head)
        const nowMs = this.options.clock.readMonotonicMs()
        this.limits.observeHead(state, head, nowMs)
        this.opening.observeHead(state, head, nowMs)
        state.onChanged()
      }
    })
    const usable = this.getUsable(entry.service)
    const state: UpstreamState = new UpstreamState(entry, pool, () => { usable.onChanged(state) })
    usable.addUpstream(state)
    this.states.set(entry.id, state)
    this.byService.set(entry.service, [...this.byService.get(entry.service) ?? [], state])
    this.recordChange('upstream added', entry, entry.isDraining ? 'registered as draining' : 'registered as ready')
    this.opening.observeEntry(state, this.options.clock.readMonotonicMs())
  }

  private hasLimitAmong (states: readonly UpstreamState[], nowMs: number): boolean {
    return states.some(state => this.limits.findLimit(state, nowMs) !== undefined)
  }

  /** Whether the requests of this host take less than its part of the upstream's places. */
  private hasPlace ({ entry, inFlight }: UpstreamState): boolean {
    return inFlight < Math.max(Math.ceil(entry.slots / this.options.countHosts()), upstreamConstants.minPlaces)
  }

  /** Name of the condition that forbids to send anything to the upstream now. */
  private findSendBlock (state: UpstreamState, { takesNoPlace }: ExchangeRequest): string | undefined {
    const [block] = this.sending.listBlocks(state, this.options.clock.readMonotonicMs())
      .filter(({ roomInMs }) => takesNoPlace !== true || roomInMs === undefined)
    if (block === undefined) return undefined
    this.options.metrics.addCount('upstream_sends_held_back', { condition: block.condition })
    return block.condition
  }

  /** What an upstream says of its stop holds for this instance, whatever the store says later. */
  private observeLeaving ({ entry }: UpstreamState, { isLeaving }: UpstreamResponseHead): void {
    if (!isLeaving || this.leaving.has(entry)) return
    this.leaving.add(entry)
    this.options.metrics.addCount('upstreams_leaving_seen', { service: entry.service })
    if (this.states.get(entry.id)?.entry === entry) this.applyEntry(entry)
  }

  private recordChange (message: string, entry: UpstreamEntry, reason: string): void {
    const { id, service, address, failureDomain, version } = entry
    const fields = { upstream: id, service, address, upstreamDomain: failureDomain, upstreamVersion: version, reason }
    this.options.logger.recordInfo(message, fields)
  }
}
