import type { Random } from '../../types/random.js'
import type { StageWork } from '../../types/stageWork.js'
import type { Candidate } from './candidate.js'
import { routingConstants } from './constants.js'
import type { OperationLatency } from './operationLatency.js'
import type { UpstreamPool } from './upstreamPool.js'
import type { UpstreamView } from './upstreamView.js'

/** Chooses the upstream of a pool with the earliest predicted completion. */
export class UpstreamChooser {
  constructor (
    private readonly random: Random,
    private readonly countHosts: () => number
  ) {}

  /**
   * The best of a few random upstreams and those that cache the prompt prefix, or any other one that can take the work.
   * Undefined when there is none.
   */
  choose (pool: UpstreamPool, latency: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    const best = this.chooseSampled(pool, latency, work, long, excluded, nowMs)
    if (best !== undefined) return best
    return this.chooseFromAll(pool, latency, work, long, excluded, nowMs)
  }

  /** Predicts the service and queueing times of `work` at an upstream. */
  computeCandidate (pool: UpstreamPool, latency: OperationLatency, work: StageWork, view: UpstreamView, nowMs: number): Candidate {
    const speedFactor = Math.max(0.5, view.speed.getLatencyRatio() / pool.getMedianLatencyRatio(nowMs))
    const ownAttempts = view.attempts.size
    const cached = work.prefixHash !== undefined && pool.prefixes.has(work.prefixHash, view.upstream.id)
    const firstTokenMs = latency.firstToken.getBaseMs() * (cached ? routingConstants.cachedFirstTokenShare : 1)
    const perCostMs = latency.perCostUnit.getBaseMs() * work.cost
    const serviceMs = (latency.streaming ? firstTokenMs + perCostMs : perCostMs) * speedFactor
    if (view.slots === 0) return { view, serviceMs, waitMs: serviceMs * ownAttempts * routingConstants.loadWeight }
    const load = ownAttempts + view.computeOtherHostsLoad(pool.getMeanOtherHostsLoad(), nowMs)
    const otherHostsQueue = view.awaitingFirstToken * (this.countHosts() - 1) * routingConstants.otherHostsQueueWeight
    const queued = Math.max(load + 1 - view.slots, 0) + otherHostsQueue
    const meanMs = pool.getMeanServiceMs() * speedFactor
    const waitMs = queued > 0 ? queued * meanMs / view.slots : 0
    return { view, serviceMs: serviceMs * (1 + routingConstants.loadWeight * Math.min(load / view.slots, 1)), waitMs }
  }

  private chooseSampled (pool: UpstreamPool, latency: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    const size = pool.selectable.length
    const isSmallPool = size <= routingConstants.sampledCandidates
    const count = isSmallPool ? size : routingConstants.sampledCandidates
    const start = Math.floor(this.random() * size)
    let best: Candidate | undefined
    for (let i = 0; i < count; i++) {
      const index = isSmallPool || i === 0 ? (start + i) % size : Math.floor(this.random() * size)
      best = this.chooseBetter(best, pool.selectable[index], pool, latency, work, long, excluded, nowMs)
    }
    if (work.prefixHash === undefined || long) return best
    for (const id of pool.prefixes.list(work.prefixHash)) {
      const cachingUpstream = pool.findSelectable(id)
      best = this.chooseBetter(best, cachingUpstream, pool, latency, work, long, excluded, nowMs)
    }
    return best
  }

  /**
   * The first upstream with capacity, when no sampled one has any. If there is none, the best upstream regardless of
   * capacity; for long work only if all upstreams are slow.
   */
  private chooseFromAll (pool: UpstreamPool, latency: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    const size = pool.selectable.length
    const start = Math.floor(this.random() * size)
    for (let i = 0; i < size; i++) {
      const found = this.chooseBetter(undefined, pool.selectable[(start + i) % size], pool, latency, work, long, excluded, nowMs)
      if (found !== undefined) return found
    }
    if (long && pool.selectable.some(view => !view.speed.isSlow())) return undefined
    let best: Candidate | undefined
    for (const view of pool.selectable) {
      if (excluded.has(view.upstream.id) || !view.isServing(work.model) || view.isPaused(nowMs)) continue
      const candidate = this.computeCandidate(pool, latency, work, view, nowMs)
      if (isBetter(candidate, best)) best = candidate
    }
    return best
  }

  private chooseBetter (best: Candidate | undefined, view: UpstreamView | undefined, pool: UpstreamPool, latency: OperationLatency, work: StageWork, long: boolean, excluded: ReadonlySet<string>, nowMs: number): Candidate | undefined {
    if (view === undefined || !view.isSelectable() || view.isPaused(nowMs)) return best
    if (!view.isServing(work.model) || excluded.has(view.upstream.id)) return best
    this.checkStall(view, pool, latency, nowMs)
    if (!view.speed.hasCapacity(view.attempts.size)) return best
    if (long && !this.hasLongCapacity(view, pool, nowMs)) return best
    const candidate = this.computeCandidate(pool, latency, work, view, nowMs)
    return isBetter(candidate, best) ? candidate : best
  }

  private hasLongCapacity (view: UpstreamView, pool: UpstreamPool, nowMs: number): boolean {
    if (view.slots === 0) return true
    if (view.longAttempts < Math.floor(view.slots / this.countHosts())) return true
    return view.attempts.size + view.computeOtherHostsLoad(pool.getMeanOtherHostsLoad(), nowMs) < view.slots
  }

  /** Marks an upstream slow that has attempts in flight but has made no normal progress for several predicted latencies. */
  private checkStall (view: UpstreamView, pool: UpstreamPool, latency: OperationLatency, nowMs: number): void {
    if (view.speed.isSlow()) return
    const oldest = view.attempts.values().next()
    if (oldest.done) return
    // A stream is expected to deliver 8 tokens in this time, a call its response.
    const predictedMs = latency.streaming ? latency.computeServiceMs(8) + oldest.value.predictedWaitMs : oldest.value.predictedMs
    const limitMs = Math.max(predictedMs * routingConstants.stallRatio, routingConstants.minStallMs)
    if (nowMs - Math.max(view.lastHealthyMs, oldest.value.sentMs) < limitMs) return
    view.speed.setSlow(nowMs)
    pool.addSlow(view)
  }
}

function isBetter (candidate: Candidate, best: Candidate | undefined): boolean {
  return best === undefined || candidate.serviceMs + candidate.waitMs < best.serviceMs + best.waitMs
}
