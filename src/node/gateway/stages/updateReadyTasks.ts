import { computeRemainingMs } from './computeRemainingMs.js'
import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/** Marks the tasks as ready whose inputs are available, and first stages off the critical path when their turn has come. */
export function updateReadyTasks (state: JobState, services: ReadonlyMap<string, StageService>, nowMs: number): void {
  if (state.isEnded) return
  const criticalPath = state.listCriticalPath()
  const isPathUnsent = criticalPath.some(task => task.pendingPieces.length > 0)
  for (const task of state.tasks.values()) {
    if (task.isReady || task.pendingPieces.length === 0) continue
    if (!task.hasInputs()) continue
    // A first stage off the critical path runs alongside the last stage of that path, because its results occupy memory
    // until both are done.
    const isOffCriticalPath = task.work.after.length === 0 && !criticalPath.includes(task)
    if (isOffCriticalPath && isPathUnsent) continue
    task.remainingMs = computeRemainingMs(task, services)
    task.remainingAfterMs = Math.max(0, ...state.listDependents(task).map(follower => computeRemainingMs(follower, services)))
    task.startTurn(nowMs)
  }
}
