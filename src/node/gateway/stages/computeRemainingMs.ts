import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'

/** Time that a stage and the longest chain of stages that depend on it take without queueing. */
export function computeRemainingMs (task: StageTask, services: ReadonlyMap<string, StageService>): number {
  const { work } = task
  const spec = services.get(work.service)?.spec
  const ownMs = spec === undefined ? 0 : spec.callMs + Math.min(work.pieceCount, spec.batchSize) * spec.pieceMs
  return ownMs + Math.max(0, ...task.jobState.listDependents(task).map(follower => computeRemainingMs(follower, services)))
}
