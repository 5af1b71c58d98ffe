import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/**
 * Counts the accepted pieces that wait at each service, including pieces of stages that are not ready yet. Returns the
 * time after which the next on-time job counts as late.
 */
export function updateBacklogs (
  services: ReadonlyMap<string, StageService>,
  jobs: Iterable<JobState>,
  nowMs: number
): number {
  let nextLateAtMs = Infinity
  for (const { backlog } of services.values()) {
    backlog.onTime = 0
    backlog.late = 0
    backlog.committed = 0
    backlog.started = 0
    backlog.oldestLateAtMs = Infinity
    backlog.jobs = []
  }
  for (const state of jobs) {
    if (state.isEnded) continue
    const { targetAtMs } = state.job
    const isLate = state.isLate || targetAtMs < nowMs
    if (!isLate) nextLateAtMs = Math.min(nextLateAtMs, targetAtMs)
    for (const task of state.tasks.values()) {
      const backlog = services.get(task.work.service)?.backlog
      const pieces = task.pendingPieces.length
      if (backlog === undefined || pieces === 0) continue
      backlog[isLate ? 'late' : 'onTime'] += pieces
      if (state.hasStarted) backlog.started += pieces
      if (isLate && !state.hasStarted) backlog.oldestLateAtMs = Math.min(backlog.oldestLateAtMs, state.startedAtMs)
      if (!isLate || state.hasStarted) backlog.committed += pieces
      if (!isLate) backlog.jobs.push({ sortKeyMs: state.sortKeyMs, pieces })
    }
  }
  return nextLateAtMs
}
