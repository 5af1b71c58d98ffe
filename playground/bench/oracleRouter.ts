import type { StageWork } from '../../src/types/stageWork.js'
import type { UpstreamChoice } from '../../src/types/upstreamChoice.js'
import { BaselineRouter } from './baselineRouter.js'
import type { SimulationContext } from './simulationContext.js'
import { computeTrueCompletionMs } from './computeTrueCompletionMs.js'
import type { TrueWork } from './trueWork.js'
import type { UpstreamModel } from './upstreamModel.js'

/** Slots of a runner that the oracle keeps free for short work. */
const reservedSlots = 1

/** The oracle: routes by the actual cost of all work and the current state of all upstreams. */
export class OracleRouter extends BaselineRouter {
  constructor (private readonly context: SimulationContext) {
    super(context.random)
  }

  override route (work: StageWork, excluded: ReadonlySet<string>): UpstreamChoice | undefined {
    const truth = this.context.trueWorkById.get(work.workId)
    if (truth === undefined) return undefined
    let best: UpstreamChoice | undefined
    for (const model of this.context.models.values()) {
      if (model.pool.name !== work.pool || model.lost || excluded.has(model.id)) continue
      if (truth.long && countLong(model) >= model.pool.slots - reservedSlots) continue
      const predictedMs = computeTrueCompletionMs(model, truth, work.priority)
      if (best === undefined || predictedMs < best.predictedMs) best = { upstreamId: model.id, predictedMs }
    }
    return best
  }

  protected override choose (): undefined {
    return undefined
  }

  /** Computes the least time in which work of the actual cost `truth` would end in the pool if it were sent now. */
  computePoolMs (pool: string, truth: TrueWork, priority: number): number {
    let leastMs = Number.POSITIVE_INFINITY
    let longMs = 0
    let longSlots = 0
    for (const model of this.context.models.values()) {
      if (model.pool.name !== pool || model.lost) continue
      leastMs = Math.min(leastMs, computeTrueCompletionMs(model, truth, priority))
      if (!truth.long) continue
      for (const job of [...model.running, ...model.waiting]) if (job.long) longMs += (job.state === 'running' ? job.totalWork - model.getDoneWork(job) : model.computeTotalWork(job)) * model.computeSlowdown(job.state === 'running' ? model.running.length : model.pool.slots)
      longSlots += model.pool.slots - reservedSlots
    }
    if (!truth.long) return leastMs
    // 1.6 is the slowdown of a full batch of runners.
    const pendingMs = (this.context.pendingLongWorkMs.get(pool) ?? 0) * 1.6
    const ownMs = (truth.prefillMs + truth.unitMs * truth.unitCount) * 1.6
    // With even lengths the next slot becomes free half a service time before the mean backlog is done.
    return Math.max(leastMs, (longMs + pendingMs) / Math.max(longSlots, 1) + ownMs / 2)
  }
}

function countLong (model: UpstreamModel): number {
  let count = 0
  for (const job of model.running) if (job.long) count++
  for (const job of model.waiting) if (job.long) count++
  return count
}
