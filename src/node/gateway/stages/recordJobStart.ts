import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/** Marks a job as started and counts its waiting pieces with those of started jobs. */
export function recordJobStart (state: JobState, services: ReadonlyMap<string, StageService>): void {
  state.hasStarted = true
  for (const { work, pendingPieces } of state.tasks.values()) {
    const backlog = services.get(work.service)?.backlog
    if (backlog !== undefined) backlog.started += pendingPieces.length
  }
}
