import type { StageSpec } from '../../types/stageSpec.js'
import type { PipelinePlan } from './pipelinePlan.js'
import { listStagesInOrder } from './listStagesInOrder.js'

/**
 * Builds the execution plan of a request kind's stages. Throws `RequestError` when they do not form an acyclic graph.
 */
export function buildPipelinePlan (specs: readonly StageSpec[]): PipelinePlan {
  const stages = listStagesInOrder(specs)
  const streamed = stages.findLast(stage => stage.operation === 'generate')
  const needed = new Set(stages.flatMap(stage => stage.after))
  const remainingPaths = new Map<string, readonly StageSpec[]>()
  for (const stage of stages.toReversed()) {
    const followers = stages.filter(other => other.after.includes(stage.name)).map(other => remainingPaths.get(other.name) ?? [])
    const longest = followers.reduce((best, path) => path.length > best.length ? path : best, [])
    remainingPaths.set(stage.name, [stage, ...longest])
  }
  return { stages, streamed, results: stages.filter(stage => !needed.has(stage.name) && stage !== streamed), remainingPaths }
}
