import type { StageEstimator } from '../../types/stageEstimator.js'
import type { StageSpec } from '../../types/stageSpec.js'

/**
 * Predicts the time of the critical path through the stages, split into service and queueing time. `stages` must be
 * sorted topologically, each after the stages it depends on (see `listStagesInOrder`). `tokens` is the predicted length
 * of generation stages, bounded by the maximum of the stage.
 */
export function computeCriticalPathMs (stages: readonly StageSpec[], tokens: number, estimator: StageEstimator, nowMs: number): { readonly serviceMs: number, readonly waitMs: number } {
  const ends = new Map<string, { readonly serviceMs: number, readonly waitMs: number }>()
  let last = { serviceMs: 0, waitMs: 0 }
  for (const stage of stages) {
    let start = { serviceMs: 0, waitMs: 0 }
    for (const name of stage.after) start = chooseLater(start, ends.get(name))
    const cost = stage.operation === 'generate' ? Math.min(tokens, stage.maxTokens ?? tokens) : 1
    const stageMs = estimator.computeStageMs(stage.pool, stage.operation, stage.model, cost, nowMs)
    const end = { serviceMs: start.serviceMs + stageMs.serviceMs, waitMs: start.waitMs + stageMs.waitMs }
    ends.set(stage.name, end)
    last = chooseLater(last, end)
  }
  return last
}

function chooseLater<T extends { readonly serviceMs: number, readonly waitMs: number }> (a: T, b: T | undefined): T {
  return b !== undefined && b.serviceMs + b.waitMs > a.serviceMs + a.waitMs ? b : a
}
