import { conditionConstants } from './constants.js'
import { LimitShare } from '../upstreams/limitShare.js'
import type { ColdSpec } from '../model/coldSpec.js'
import type { ConditionBlock } from './conditionBlock.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'
import type { UpstreamCondition } from './upstreamCondition.js'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface ColdOptions {
  readonly logger: Logger
  readonly metrics: Metrics
  /** Undefined for a service without a limit for cold upstreams, and without the bound of the settings. */
  readonly findSpec: (service: string) => ColdSpec | undefined
  /** Requests a second that this host may send to a cold upstream. */
  readonly computeRate: (upstreamId: string, coldRate: number, nowMs: number) => number
}

interface ColdRecord {
  /** Start and revision of the entry whose statement was last taken into account. */
  startedAtMs: number
  revision: number | undefined
  /** Ends of the cold times that the entry and the answers state. */
  entryUntilMs: number
  answerUntilMs: number
  isUnreadableLogged: boolean
  readonly share: LimitShare
  shareUpdatedAtMs: number
}

/**
 * The upstream is cold, and this host has no share of what it takes then, or has used it. An upstream that gets more
 * fails for all hosts, so a statement that it is warm counts only from the upstream itself.
 */
export class ColdCondition implements UpstreamCondition {
  readonly name = 'cold'
  changeCount = 0
  private readonly records = new WeakMap<UpstreamState, ColdRecord>()
  /** Time at which an evacuated failure domain came back. */
  private readonly returnedAtMs = new Map<string, number>()

  constructor (private readonly options: ColdOptions) {}

  findBlock (upstream: UpstreamState, nowMs: number): ConditionBlock | undefined {
    const coldMs = this.computeColdMs(upstream, nowMs)
    if (coldMs === 0) return undefined
    const waitMs = this.getShare(upstream, nowMs).computeWaitMs(nowMs)
    return waitMs === 0 ? undefined : { waitMs: Math.min(waitMs, coldMs) }
  }

  /** A share that has room keeps it until a request is sent; one without may be another one at the next refresh. */
  computeHoldMs (upstream: UpstreamState, nowMs: number): number {
    const block = this.findBlock(upstream, nowMs)
    const record = this.records.get(upstream)
    if (block !== undefined) {
      const refreshAtMs = (record?.shareUpdatedAtMs ?? nowMs) + conditionConstants.coldRefreshMs
      return Math.min(block.waitMs, Math.max(refreshAtMs - nowMs, 0))
    }
    const isStated = record !== undefined && Math.max(record.entryUntilMs, record.answerUntilMs) > nowMs
    // Whether such an upstream counts as cold depends on the configuration as well, which may change.
    return isStated || this.returnedAtMs.has(upstream.entry.failureDomain) ? conditionConstants.coldRefreshMs : Infinity
  }

  recordSent (upstream: UpstreamState, nowMs: number): void {
    if (this.computeColdMs(upstream, nowMs) === 0) return
    this.getShare(upstream, nowMs).takeToken(nowMs)
    upstream.onChanged()
    this.options.metrics.addCount('cold_requests_sent', { service: upstream.entry.service })
  }

  /** A new entry replaces the statement of the one before; one that is read again states nothing new. */
  observeEntry (upstream: UpstreamState, nowMs: number): void {
    const { startedAtMs, revision, coldMs } = upstream.entry
    const record = this.getRecord(upstream, nowMs)
    const isSameInstance = record.startedAtMs === startedAtMs
    if (isSameInstance && record.revision === revision && revision !== undefined) return
    if (!isSameInstance) record.answerUntilMs = record.entryUntilMs = nowMs
    record.startedAtMs = startedAtMs
    record.revision = revision
    const statedMs = this.checkStatement(upstream, record, coldMs, 'entry')
    if (statedMs === undefined) return
    this.recordCold(upstream, statedMs, 'entry', nowMs)
    record.entryUntilMs = nowMs + statedMs
  }

  observeHead (upstream: UpstreamState, { coldMs }: UpstreamResponseHead, nowMs: number): void {
    if (coldMs === undefined) return
    const record = this.getRecord(upstream, nowMs)
    const statedMs = this.checkStatement(upstream, record, coldMs, 'answer')
    if (statedMs === undefined) return
    this.recordCold(upstream, statedMs, 'answer', nowMs)
    record.answerUntilMs = record.entryUntilMs = nowMs + statedMs
    upstream.onChanged()
  }

  /** The upstreams of a failure domain that was evacuated may have been stopped meanwhile. */
  observeReturn (failureDomain: string, nowMs: number): void {
    this.returnedAtMs.set(failureDomain, nowMs)
    this.changeCount++
  }

  /** Time for which the upstream is still cold; 0 when it is warm or its service states no limit. */
  private computeColdMs (upstream: UpstreamState, nowMs: number): number {
    const { service, failureDomain } = upstream.entry
    const record = this.records.get(upstream)
    const statedUntilMs = record === undefined ? nowMs : Math.max(record.entryUntilMs, record.answerUntilMs)
    const returnedAtMs = this.returnedAtMs.size === 0 ? undefined : this.returnedAtMs.get(failureDomain)
    // Most upstreams are warm, so this is decided before the service is looked up.
    if (statedUntilMs <= nowMs && returnedAtMs === undefined) return 0
    const spec = this.options.findSpec(service)
    if (spec === undefined) return 0
    const returnUntilMs = returnedAtMs === undefined ? nowMs : returnedAtMs + spec.durationMs
    return Math.max(statedUntilMs, returnUntilMs, nowMs) - nowMs
  }

  /** This host's share, which begins empty; the hosts that have one are chosen again now and then. */
  private getShare (upstream: UpstreamState, nowMs: number): LimitShare {
    const { id, service } = upstream.entry
    const record = this.getRecord(upstream, nowMs)
    if (nowMs - record.shareUpdatedAtMs >= conditionConstants.coldRefreshMs) {
      record.shareUpdatedAtMs = nowMs
      const coldRate = this.options.findSpec(service)?.requestsPerSecond ?? 0
      record.share.setRate(this.options.computeRate(id, coldRate, nowMs), nowMs)
    }
    return record.share
  }

  private getRecord (upstream: UpstreamState, nowMs: number): ColdRecord {
    const known = this.records.get(upstream)
    if (known !== undefined) return known
    const record: ColdRecord = {
      startedAtMs: upstream.entry.startedAtMs,
      revision: undefined,
      entryUntilMs: nowMs,
      answerUntilMs: nowMs,
      isUnreadableLogged: false,
      share: new LimitShare(0, nowMs),
      shareUpdatedAtMs: -Infinity
    }
    this.records.set(upstream, record)
    return record
  }

  /** The stated time; undefined when none is stated or it is not readable, which is logged once for each upstream. */
  private checkStatement (
    { entry }: UpstreamState,
    record: ColdRecord,
    coldMs: number | 'unreadable' | undefined,
    source: 'entry' | 'answer'
  ): number | undefined {
    if (coldMs !== 'unreadable') return coldMs
    if (!record.isUnreadableLogged) {
      const { id, service } = entry
      this.options.logger.recordWarning('cold time not readable', { upstream: id, service, source, outcome: 'not stated' })
    }
    record.isUnreadableLogged = true
    return undefined
  }

  private recordCold (upstream: UpstreamState, coldMs: number, source: 'entry' | 'answer', nowMs: number): void {
    const { id, service } = upstream.entry
    if (coldMs === 0 || this.options.findSpec(service) === undefined) return
    const hasBegun = this.computeColdMs(upstream, nowMs) === 0
    if (!hasBegun) return
    this.options.metrics.addCount('cold_upstreams_seen', { service, source })
    this.options.logger.recordInfo('upstream cold', { upstream: id, service, source, coldMs })
  }
}
