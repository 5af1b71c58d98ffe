import { BrittlePeriod } from './brittlePeriod.js'
import { BrittlePlaces } from './brittlePlaces.js'
import { conditionConstants } from './constants.js'
import { rejectionStatuses } from '../model/rejectionStatuses.js'
import type { ConditionBlock } from './conditionBlock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { Random } from '../../../types/random.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface BrittleOptions {
  readonly logger: Logger
  readonly metrics: Metrics
  readonly random: Random
  /** Whether several hosts send to the upstreams of a service; one that schedules their calls has all places. */
  readonly isShared: (service: string) => boolean
  /** Places that this host may take at an upstream that bears so many rejections a second. */
  readonly computePlaces: (upstream: UpstreamState, maxRejections: number, nowMs: number) => number
  /** Checks the health of an upstream of the service; its answer comes to `observeCheck`. */
  readonly checkHealth: (service: string) => void
}

interface BrittleRecord {
  /** Times at which the requests in progress were sent. */
  readonly sentAtMs: number[]
  /** Mean time for which a request takes a place; 0 before the first one. */
  durationMs: number
  /** Period and instance for which `places` holds. */
  period: BrittlePeriod | undefined
  startedAtMs: number
  places: BrittlePlaces | undefined
  share: number
  shareUpdatedAtMs: number
  isUnreadableLogged: boolean
}

/**
 * The upstreams of a service are brittle, and this host has no share of the places of this one, or has used it. An
 * upstream that rejects too many requests ends, so the hosts together send no more than it has places for, whatever its
 * queue takes.
 */
export class BrittleCondition implements UpstreamCondition {
  readonly name = 'brittle'
  changeCount = 0
  private readonly periods = new Map<string, BrittlePeriod>()
  private readonly records = new WeakMap<UpstreamState, BrittleRecord>()
  /** Upstream that was sent the request that shows whether a doubtful period is over, by period. */
  private readonly probes = new WeakMap<BrittlePeriod, UpstreamState>()

  constructor (private readonly options: BrittleOptions) {}

  findBlock (upstream: UpstreamState, nowMs: number): ConditionBlock | undefined {
    const { id, service } = upstream.entry
    // Most services are not brittle, so this is decided first.
    const period = this.findPeriod(service, nowMs)
    if (period === undefined) return undefined
    if (period.isBrittle(id, nowMs)) return this.findPlaceBlock(upstream, period, nowMs)
    return period.getPhase(nowMs) === 'doubtful' ? this.findDoubtBlock(service, period, nowMs) : undefined
  }

  /** Within a period, the requests in progress and the time decide. */
  computeHoldMs ({ entry }: UpstreamState): number {
    return this.periods.has(entry.service) ? 0 : Infinity
  }

  findPlaces (upstream: UpstreamState, nowMs: number): number | undefined {
    const period = this.findPeriod(upstream.entry.service, nowMs)
    if (period?.isBrittle(upstream.entry.id, nowMs) !== true) return undefined
    return this.getPlaces(upstream, period, nowMs).computeAllowed(this.getShare(upstream, period, nowMs))
  }

  isRationed ({ entry }: UpstreamState, nowMs: number): boolean {
    return this.findPeriod(entry.service, nowMs)?.isBrittle(entry.id, nowMs) === true
  }

  recordSent (upstream: UpstreamState, nowMs: number, takesPlace = true): void {
    if (!takesPlace) return
    this.getRecord(upstream).sentAtMs.push(nowMs)
    const { service } = upstream.entry
    const period = this.findPeriod(service, nowMs)
    if (period?.getPhase(nowMs) === 'doubtful') this.probes.set(period, upstream)
  }

  recordEnded (upstream: UpstreamState, nowMs: number, takesPlace = true): void {
    if (!takesPlace) return
    const record = this.getRecord(upstream)
    const sentAtMs = record.sentAtMs.shift()
    // The requests end in another order than they were sent; the mean of their durations is the same.
    if (sentAtMs !== undefined) {
      const { durationMs } = record
      const weight = durationMs === 0 ? 1 : conditionConstants.brittleDurationWeight
      record.durationMs += weight * (nowMs - sentAtMs - durationMs)
    }
    const period = this.periods.get(upstream.entry.service)
    if (period !== undefined && this.probes.get(period) === upstream) this.probes.delete(period)
  }

  observeHead (upstream: UpstreamState, head: UpstreamResponseHead, nowMs: number): void {
    const { brittleLimit, isMisdirected, status, load } = head
    // Another instance has answered.
    if (isMisdirected) return
    const { id, service } = upstream.entry
    const isRejection = rejectionStatuses.has(status)
    if (brittleLimit === 'unreadable') this.recordUnreadable(upstream)
    else if (brittleLimit !== undefined) this.observeReport(upstream, brittleLimit, nowMs)
    // A rejection shows that there is no room, so it never gives the upstream more requests.
    else if (!isRejection) this.observeClear(upstream, nowMs)
    const period = this.findPeriod(service, nowMs)
    if (period?.isBrittle(id, nowMs) !== true) return
    const places = this.getPlaces(upstream, period, nowMs)
    if (isRejection) return this.observeRejection(upstream, period, status, nowMs)
    const inProgress = this.getRecord(upstream).sentAtMs.length
    places.observeTaken({ inProgress, share: this.getShare(upstream, period, nowMs), load }, nowMs)
  }

  /** An answer to a health check, which takes no place. */
  observeCheck (upstream: UpstreamState, { brittleLimit, isMisdirected }: UpstreamResponseHead, nowMs: number): void {
    if (isMisdirected) return
    if (brittleLimit === 'unreadable') this.recordUnreadable(upstream)
    else if (brittleLimit !== undefined) this.observeReport(upstream, brittleLimit, nowMs)
    else this.findPeriod(upstream.entry.service, nowMs)?.observeClearCheck(nowMs)
  }

  /** The host that schedules the calls of a service gets all answers, so that silence says that the period is over. */
  private findDoubtBlock (service: string, period: BrittlePeriod, nowMs: number): ConditionBlock | undefined {
    if (!this.options.isShared(service)) return undefined
    if (period.takeCheck(nowMs)) this.options.checkHealth(service)
    if (!period.isRequestAllowed()) return { waitMs: 0, roomInMs: conditionConstants.brittleRoomMs }
    const probed = this.probes.get(period)
    return probed === undefined ? undefined : { waitMs: 0, roomInMs: this.computeRoomMs(probed) }
  }

  private findPlaceBlock (upstream: UpstreamState, period: BrittlePeriod, nowMs: number): ConditionBlock | undefined {
    const share = this.getShare(upstream, period, nowMs)
    // Without a share, this host asks again when the period is doubtful.
    if (share === 0) return { waitMs: period.computeLeftMs(nowMs) }
    const places = this.getPlaces(upstream, period, nowMs)
    const pauseMs = places.computePauseMs(nowMs)
    if (pauseMs > 0) return { waitMs: pauseMs }
    if (this.getRecord(upstream).sentAtMs.length < places.computeAllowed(share)) return undefined
    return { waitMs: 0, roomInMs: this.computeRoomMs(upstream) }
  }

  /** Expected time until the first of the requests in progress ends. */
  private computeRoomMs (upstream: UpstreamState): number {
    const { durationMs, sentAtMs } = this.getRecord(upstream)
    const { brittleRoomMs, minBrittleRoomMs } = conditionConstants
    const roomMs = durationMs === 0 ? brittleRoomMs : durationMs / Math.max(sentAtMs.length, 1)
    return Math.max(roomMs, minBrittleRoomMs)
  }

  private observeReport (upstream: UpstreamState, maxRejections: number, nowMs: number): void {
    const { id, service } = upstream.entry
    const known = this.findPeriod(service, nowMs)
    const period = known ?? new BrittlePeriod(nowMs, this.options.random)
    period.observeReport(id, maxRejections, nowMs)
    this.probes.delete(period)
    if (known !== undefined) return
    this.periods.set(service, period)
    this.changeCount++
    this.options.metrics.addCount('brittle_periods', { service })
    this.options.metrics.setGauge('brittle_services', {}, this.periods.size)
    this.options.logger.recordWarning('service brittle', { service, upstream: id, rejectionsPerSecond: maxRejections })
  }

  private observeClear ({ entry: { id, service } }: UpstreamState, nowMs: number): void {
    const period = this.findPeriod(service, nowMs)
    if (period === undefined) return
    period.observeClear(id, nowMs)
    if (period.getPhase(nowMs) === 'over') this.endPeriod(service, period, 'answers without a report', nowMs)
  }

  private observeRejection (upstream: UpstreamState, period: BrittlePeriod, status: number, nowMs: number): void {
    const { id, service } = upstream.entry
    const places = this.getPlaces(upstream, period, nowMs)
    const pauseMs = places.observeRejection(period.maxRejections, nowMs)
    this.options.metrics.addCount('brittle_rejections', { service })
    if (pauseMs === undefined) return
    const allowed = places.computeAllowed(this.getShare(upstream, period, nowMs))
    const fields = { upstream: id, service, status, places: allowed, pauseMs: Math.round(pauseMs) }
    this.options.logger.recordWarning('brittle upstream without room', fields)
  }

  /** The period of a service; one that is over without an answer ends here. */
  private findPeriod (service: string, nowMs: number): BrittlePeriod | undefined {
    if (this.periods.size === 0) return undefined
    const period = this.periods.get(service)
    if (period === undefined || period.getPhase(nowMs) !== 'over') return period
    this.endPeriod(service, period, 'no answer for long', nowMs)
    return undefined
  }

  private endPeriod (service: string, period: BrittlePeriod, reason: string, nowMs: number): void {
    this.periods.delete(service)
    this.changeCount++
    this.options.metrics.setGauge('brittle_services', {}, this.periods.size)
    const heldMs = Math.round(nowMs - period.beganAtMs)
    this.options.logger.recordInfo('service not brittle any more', { service, reason, heldMs })
  }

  /** An instance that has just started is not known to have room. */
  private getPlaces (upstream: UpstreamState, period: BrittlePeriod, nowMs: number): BrittlePlaces {
    const record = this.getRecord(upstream)
    const { service, startedAtMs } = upstream.entry
    if (record.places === undefined || record.period !== period || record.startedAtMs !== startedAtMs) {
      const firstShare = this.options.isShared(service) ? conditionConstants.brittleFirstShare : 1
      const limit = Math.max(Math.ceil(this.getShare(upstream, period, nowMs) * firstShare), 1)
      record.places = new BrittlePlaces(limit, nowMs, this.options.random)
      record.period = period
      record.startedAtMs = startedAtMs
    }
    return record.places
  }

  /** This host's share; the hosts that have one are chosen again now and then. */
  private getShare (upstream: UpstreamState, period: BrittlePeriod, nowMs: number): number {
    const record = this.getRecord(upstream)
    if (nowMs - record.shareUpdatedAtMs >= conditionConstants.brittleRefreshMs) {
      record.shareUpdatedAtMs = nowMs
      record.share = this.options.computePlaces(upstream, period.maxRejections, nowMs)
    }
    return record.share
  }

  private getRecord (upstream: UpstreamState): BrittleRecord {
    const known = this.records.get(upstream)
    if (known !== undefined) return known
    const record: BrittleRecord = {
      sentAtMs: [],
      durationMs: 0,
      period: undefined,
      startedAtMs: upstream.entry.startedAtMs,
      places: undefined,
      share: 0,
      shareUpdatedAtMs: -Infinity,
      isUnreadableLogged: false
    }
    this.records.set(upstream, record)
    return record
  }

  /** A report that cannot be read neither starts nor ends a period. */
  private recordUnreadable (upstream: UpstreamState): void {
    const record = this.getRecord(upstream)
    if (record.isUnreadableLogged) return
    record.isUnreadableLogged = true
    const { id, service } = upstream.entry
    this.options.logger.recordWarning('brittle report not readable', { upstream: id, service, outcome: 'not stated' })
  }
}
