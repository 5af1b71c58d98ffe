import type { TrueWork } from './trueWork.js'
import type { UpstreamModel } from './upstreamModel.js'

/** Computes the actual time until work that is sent now would end at this upstream if nothing else arrived. */
export function computeTrueCompletionMs (model: UpstreamModel, truth: TrueWork, priority: number): number {
  const workMs = model.computeTotalWork(truth)
  const slowdown = model.computeSlowdown(Math.min(model.running.length + 1, model.pool.slots))
  const ahead = model.waiting.filter(job => !model.pool.honoursPriority || job.priority >= priority)
  if (model.running.length + ahead.length < model.pool.slots) return workMs * slowdown
  const ends = model.running.map(job => job.totalWork - model.getDoneWork(job))
  for (const job of ahead) {
    const at = findMinIndex(ends)
    ends[at] = (ends[at] ?? 0) + model.computeTotalWork(job)
  }
  return ((ends[findMinIndex(ends)] ?? 0) + workMs) * slowdown
}

function findMinIndex (values: readonly number[]): number {
  let minIndex = 0
  for (let i = 1; i < values.length; i++) if ((values[i] as number) < (values[minIndex] as number)) minIndex = i
  return minIndex
}
