import type { StageSpec } from '../../types/stageSpec.js'
import { RequestError } from './requestError.js'

/**
 * Sorts stages topologically, each after the stages it depends on. Throws `RequestError` for a cycle or an unknown
 * dependency.
 */
export function listStagesInOrder (stages: readonly StageSpec[]): readonly StageSpec[] {
  const sorted: StageSpec[] = []
  const placed = new Set<string>()
  while (sorted.length < stages.length) {
    const ready = stages.filter(stage => !placed.has(stage.name) && stage.after.every(name => placed.has(name)))
    // The remaining stages form a cycle or depend on an unknown stage.
    if (ready.length === 0) throw new RequestError('invalid_pipeline', 'the stages do not form a directed acyclic graph', 500, 'not_run')
    for (const stage of ready) {
      sorted.push(stage)
      placed.add(stage.name)
    }
  }
  return sorted
}
