import { stageConstants } from './constants.js'
import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/** Adds the pieces of a job that are not in a call yet to the backlogs of its services, including pieces of stages that are not ready. */
export function addToBacklogs (services: ReadonlyMap<string, StageService>, state: JobState, nowMs: number): void {
  const { targetAtMs, priority } = state.job
  const isLate = state.isLate || targetAtMs < nowMs
  for (const task of state.tasks.values()) {
    const backlog = services.get(task.work.service)?.backlog
    const pieces = task.pendingPieces.length
    if (backlog === undefined || pieces === 0) continue
    backlog[isLate ? 'late' : 'onTime'] += pieces
    if (!isLate || state.hasStarted) backlog.committed += pieces
    if (!isLate) backlog.jobs.push({ sortKeyMs: state.startedAtMs + priority * stageConstants.priorityStepMs, pieces })
  }
}
