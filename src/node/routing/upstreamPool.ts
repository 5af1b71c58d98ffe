import type { Random } from '../../types/random.js'
import type { StageOperation } from '../../types/stageOperation.js'
import { routingConstants } from './constants.js'
import { WorkClassLoad } from './workClassLoad.js'
import { DeferredWork } from './deferredWork.js'
import { OperationLatency } from './operationLatency.js'
import { PrefixIndex } from './prefixIndex.js'
import type { UpstreamView } from './upstreamView.js'

/** The upstreams of one pool and the state that they share. */
export class UpstreamPool {
  readonly prefixes = new PrefixIndex()
  readonly shortLoad = new WorkClassLoad()
  readonly longLoad = new WorkClassLoad()
  readonly deferred = new DeferredWork()
  /** Upstreams that may take new work. */
  selectable: readonly UpstreamView[] = []
  private readonly byId = new Map<string, UpstreamView>()
  private readonly operationLatencies = new Map<string, OperationLatency>()
  private slowViews: readonly UpstreamView[] = []
  private medianLatencyRatio = 1
  private medianUpdatedMs = Number.NEGATIVE_INFINITY
  private meanOtherHostsLoad = 0
  private meanServiceMs = 0

  constructor (private readonly random: Random) {}

  getOperationLatency (operation: StageOperation, model: string | undefined): OperationLatency {
    const key = model === undefined ? operation : `${operation}/${model}`
    const found = this.operationLatencies.get(key)
    if (found !== undefined) return found
    const created = new OperationLatency(operation === 'generate')
    this.operationLatencies.set(key, created)
    return created
  }

  setSelectable (views: readonly UpstreamView[]): void {
    this.selectable = views
    this.byId.clear()
    for (const view of views) this.byId.set(view.upstream.id, view)
    this.medianUpdatedMs = Number.NEGATIVE_INFINITY
  }

  /** A selectable upstream by id. */
  findSelectable (upstreamId: string): UpstreamView | undefined {
    return this.byId.get(upstreamId)
  }

  getClassLoad (long: boolean): WorkClassLoad {
    return long ? this.longLoad : this.shortLoad
  }

  getMeanOtherHostsLoad (): number {
    return this.meanOtherHostsLoad
  }

  getMeanServiceMs (): number {
    return this.meanServiceMs
  }

  observeServiceTime (serviceMs: number): void {
    this.meanServiceMs += (this.meanServiceMs === 0 ? 1 : 0.05) * (serviceMs - this.meanServiceMs)
  }

  observeOtherHostsLoad (load: number): void {
    this.meanOtherHostsLoad += (load - this.meanOtherHostsLoad) / Math.max(1, Math.min(this.selectable.length, 50))
  }

  /** Slow upstreams; the list is refreshed together with the median latency ratio. */
  listSlow (nowMs: number): readonly UpstreamView[] {
    this.updateMedian(nowMs)
    return this.slowViews
  }

  addSlow (view: UpstreamView): void {
    if (!this.slowViews.includes(view)) this.slowViews = [...this.slowViews, view]
  }

  /** Median of the upstreams' latency relative to the prediction. */
  getMedianLatencyRatio (nowMs: number): number {
    this.updateMedian(nowMs)
    return this.medianLatencyRatio
  }

  /**
   * Attempts of long work that this host may have in flight; infinite while no slots are known. The limit is
   * this host's share of the slots that short work does not need, or more while other hosts leave slots unused.
   */
  computeLongAttemptLimit (hosts: number, nowMs: number): number {
    const slots = this.selectable.find(view => view.slots > 0)?.slots ?? 0
    if (slots === 0) return Number.POSITIVE_INFINITY
    const size = this.selectable.length
    const ownShortLoad = this.shortLoad.computeConcurrency(nowMs)
    const shortSlots = ownShortLoad * hosts / size
    const reservedSlots = Math.min(Math.max(shortSlots, slots * routingConstants.minShortWorkShare), slots * routingConstants.maxShortWorkShare)
    const unusedSlots = size * (slots - slots * routingConstants.minShortWorkShare - this.meanOtherHostsLoad) - ownShortLoad
    return Math.max(1, Math.floor(size * (slots - reservedSlots) / hosts), Math.floor(unusedSlots))
  }

  private updateMedian (nowMs: number): void {
    if (nowMs - this.medianUpdatedMs < routingConstants.medianIntervalMs) return
    this.medianUpdatedMs = nowMs
    this.slowViews = this.slowViews.filter(view => view.speed.isSlow() && view.isSelectable())
    const size = this.selectable.length
    const sample = Math.min(size, routingConstants.medianSampleSize)
    const offset = size > sample ? Math.floor(this.random() * size) : 0
    const ratios: number[] = []
    for (let i = 0; i < sample; i++) ratios.push(this.selectable[(offset + i) % size]?.speed.getLatencyRatio() ?? 1)
    ratios.sort((a, b) => a - b)
    this.medianLatencyRatio = ratios[(sample - 1) >> 1] ?? 1
  }
}
