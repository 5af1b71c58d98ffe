import type { Random } from '../../types/random.js'
import type { StageWork } from '../../types/stageWork.js'
import type { Candidate } from './candidate.js'
import { routingConstants } from './constants.js'
import type { OperationLatency } from './operationLatency.js'
import type { UpstreamPool } from './upstreamPool.js'
import type { UpstreamView } from './upstreamView.js'

/** Compares upstreams of one pool by predicted completion time. */
export class UpstreamChooser {
  constructor (
    private readonly random: Random,
    private readonly countHosts: () => number
  ) {}

  /** The best of a few random upstreams and the affinity upstreams; undefined when none has room. */
  choose (pool: UpstreamPool, model: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    const best = this.chooseSampled(pool, model, work, long, excluded, nowMs)
    if (best !== undefined) return best
    return this.chooseFromAll(pool, model, work, long, excluded, nowMs)
  }

  /** Predicted times of `work` at an upstream. */
  computeCandidate (pool: UpstreamPool, model: OperationLatency, work: StageWork, view: UpstreamView, nowMs: number): Candidate {
    const relative = Math.max(0.5, view.speed.getLatencyRatio() / pool.getMedianLatencyRatio(nowMs))
    const own = view.attempts.size
    const cached = work.prefixHash !== undefined && pool.prefixes.has(work.prefixHash, view.upstream.id)
    const firstMs = model.firstToken.getBaseMs() * (cached ? routingConstants.cachedFirstTokenShare : 1)
    const restMs = model.perCostUnit.getBaseMs() * work.cost
    const serviceMs = (model.streaming ? firstMs + restMs : restMs) * relative
    if (view.slots === 0) return { view, serviceMs, waitMs: serviceMs * own * routingConstants.loadWeight }
    const load = own + view.computeOtherHostsLoad(pool.getMeanOtherHostsLoad(), nowMs)
    const symmetric = view.awaitingFirstToken * (this.countHosts() - 1) * routingConstants.otherHostsQueueWeight
    const queued = Math.max(load + 1 - view.slots, 0) + symmetric
    const meanMs = pool.getMeanServiceMs() * relative
    const waitMs = queued > 0 ? queued * meanMs / view.slots : 0
    return { view, serviceMs: serviceMs * (1 + routingConstants.loadWeight * Math.min(load / view.slots, 1)), waitMs }
  }

  private chooseSampled (pool: UpstreamPool, model: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    const size = pool.selectable.length
    const few = size <= routingConstants.sampledCandidates
    const count = few ? size : routingConstants.sampledCandidates
    const start = Math.floor(this.random() * size)
    let best: Candidate | undefined
    for (let i = 0; i < count; i++) {
      const at = few || i === 0 ? (start + i) % size : Math.floor(this.random() * size)
      best = this.chooseBetter(best, pool.selectable[at], pool, model, work, long, excluded, nowMs)
    }
    if (work.prefixHash === undefined || long) return best
    for (const id of pool.prefixes.list(work.prefixHash)) {
      const holder = pool.findSelectable(id)
      best = this.chooseBetter(best, holder, pool, model, work, long, excluded, nowMs)
    }
    return best
  }

  /** All upstreams in turn, when the sampled ones had no room; slow ones when nothing else is left. */
  private chooseFromAll (pool: UpstreamPool, model: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    const size = pool.selectable.length
    const start = Math.floor(this.random() * size)
    for (let i = 0; i < size; i++) {
      const found = this.chooseBetter(undefined, pool.selectable[(start + i) % size], pool, model, work, long, excluded, nowMs)
      if (found !== undefined) return found
    }
    if (long && pool.selectable.some(view => !view.speed.isSlow())) return undefined
    let best: Candidate | undefined
    for (const view of pool.selectable) {
      if (excluded.has(view.upstream.id) || !view.isServing(work.model)) continue
      const candidate = this.computeCandidate(pool, model, work, view, nowMs)
      if (isBetter(candidate, best)) best = candidate
    }
    return best
  }

  private chooseBetter (best: Candidate | undefined, view: UpstreamView | undefined, pool: UpstreamPool, model: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    if (view === undefined || !view.isSelectable() || !view.isServing(work.model) || excluded.has(view.upstream.id)) return best
    this.checkSilence(view, pool, model, nowMs)
    if (!view.speed.hasCapacity(view.attempts.size)) return best
    if (long && !this.hasLongCapacity(view, pool, nowMs)) return best
    const candidate = this.computeCandidate(pool, model, work, view, nowMs)
    return isBetter(candidate, best) ? candidate : best
  }

  private hasLongCapacity (view: UpstreamView, pool: UpstreamPool, nowMs: number): boolean {
    if (view.slots === 0) return true
    if (view.longAttempts < Math.floor(view.slots / this.countHosts())) return true
    return view.attempts.size + view.computeOtherHostsLoad(pool.getMeanOtherHostsLoad(), nowMs) < view.slots
  }

  /** An upstream that has attempts in flight but no usual answer for several predicted latencies is slow. */
  private checkSilence (view: UpstreamView, pool: UpstreamPool, model: OperationLatency, nowMs: number): void {
    if (view.speed.isSlow()) return
    const oldest = view.attempts.values().next()
    if (oldest.done) return
    const predictedMs = model.streaming ? model.computeServiceMs(8) + oldest.value.predictedWaitMs : oldest.value.predictedMs
    const limitMs = Math.max(predictedMs * routingConstants.silenceRatio, routingConstants.minSilenceMs)
    if (nowMs - Math.max(view.lastHealthyMs, oldest.value.sentMs) < limitMs) return
    view.speed.setSlow(nowMs)
    pool.addSlow(view)
  }
}

function isBetter (candidate: Candidate, best: Candidate | undefined): boolean {
  return best === undefined || candidate.serviceMs + candidate.waitMs < best.serviceMs + best.waitMs
}
