import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'

/** Time that a stage and the longest chain of stages that depend on it take without queueing. */
export function computeRemainingMs (task: StageTask, services: ReadonlyMap<string, StageService>): number {
  const { work } = task
  const service = services.get(work.service)
  const pieceCount = Math.min(work.pieceCount, service?.spec.batchSize ?? 0)
  const ownMs = service === undefined ? 0 : service.spec.callMs + pieceCount * service.computePieceMs(task.pieceKind)
  return ownMs + Math.max(0, ...task.jobState.listDependents(task).map(follower => computeRemainingMs(follower, services)))
}
