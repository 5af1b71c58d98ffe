import type { Random } from '../../types/random.js'
import type { StageOperation } from '../../types/stageOperation.js'
import { routingConstants } from './constants.js'
import { LaneLoad } from './laneLoad.js'
import { ParkedWork } from './parkedWork.js'
import { OperationModel } from './operationModel.js'
import { PrefixIndex } from './prefixIndex.js'
import type { UpstreamView } from './upstreamView.js'

/** The upstreams of one pool and what they have in common. */
export class UpstreamPool {
  readonly prefixes = new PrefixIndex()
  readonly short = new LaneLoad()
  readonly long = new LaneLoad()
  readonly parked = new ParkedWork()
  /** Upstreams that may take new work. */
  selectable: readonly UpstreamView[] = []
  private readonly byId = new Map<string, UpstreamView>()
  private readonly models = new Map<string, OperationModel>()
  private slow: readonly UpstreamView[] = []
  private usualRatio = 1
  private usualRatioMs = Number.NEGATIVE_INFINITY
  private meanOthers = 0
  private meanServiceMs = 0

  constructor (private readonly random: Random) {}

  getModel (operation: StageOperation, model: string | undefined): OperationModel {
    const key = model === undefined ? operation : `${operation}/${model}`
    const found = this.models.get(key)
    if (found !== undefined) return found
    const created = new OperationModel(operation === 'generate')
    this.models.set(key, created)
    return created
  }

  setSelectable (views: readonly UpstreamView[]): void {
    this.selectable = views
    this.byId.clear()
    for (const view of views) this.byId.set(view.upstream.id, view)
    this.usualRatioMs = Number.NEGATIVE_INFINITY
  }

  /** A selectable upstream by id. */
  find (upstreamId: string): UpstreamView | undefined {
    return this.byId.get(upstreamId)
  }

  getLane (long: boolean): LaneLoad {
    return long ? this.long : this.short
  }

  getMeanOthers (): number {
    return this.meanOthers
  }

  getMeanServiceMs (): number {
    return this.meanServiceMs
  }

  observeService (serviceMs: number): void {
    this.meanServiceMs += (this.meanServiceMs === 0 ? 1 : 0.05) * (serviceMs - this.meanServiceMs)
  }

  observeOthers (load: number): void {
    this.meanOthers += (load - this.meanOthers) / Math.max(1, Math.min(this.selectable.length, 50))
  }

  /** Upstreams that were slow when the pool was last sampled; refreshed with the usual ratio. */
  listSlow (nowMs: number): readonly UpstreamView[] {
    this.updateUsual(nowMs)
    return this.slow
  }

  addSlow (view: UpstreamView): void {
    if (!this.slow.includes(view)) this.slow = [...this.slow, view]
  }

  /** Median latency of the pool's upstreams relative to the prediction. */
  getUsualRatio (nowMs: number): number {
    this.updateUsual(nowMs)
    return this.usualRatio
  }

  /**
   * Attempts of long work that this host may have in flight; infinite while no slots are known. Its
   * share of the slots that short work does not need, or more while other hosts leave slots unused.
   */
  computeLongLimit (hosts: number, nowMs: number): number {
    const slots = this.selectable.find(view => view.slots > 0)?.slots ?? 0
    if (slots === 0) return Number.POSITIVE_INFINITY
    const size = this.selectable.length
    const ownShort = this.short.computeConcurrency(nowMs)
    const needed = ownShort * hosts / size
    const reserve = Math.min(Math.max(needed, slots * routingConstants.shortReserve), slots * routingConstants.largestShortReserve)
    const unused = size * (slots - slots * routingConstants.shortReserve - this.meanOthers) - ownShort
    return Math.max(1, Math.floor(size * (slots - reserve) / hosts), Math.floor(unused))
  }

  private updateUsual (nowMs: number): void {
    if (nowMs - this.usualRatioMs < routingConstants.medianIntervalMs) return
    this.usualRatioMs = nowMs
    this.slow = this.slow.filter(view => view.speed.isSlow() && view.isSelectable())
    const size = this.selectable.length
    const sample = Math.min(size, routingConstants.medianSample)
    const offset = size > sample ? Math.floor(this.random() * size) : 0
    const ratios: number[] = []
    for (let i = 0; i < sample; i++) ratios.push(this.selectable[(offset + i) % size]?.speed.getRatio() ?? 1)
    ratios.sort((a, b) => a - b)
    this.usualRatio = ratios[(sample - 1) >> 1] ?? 1
  }
}
