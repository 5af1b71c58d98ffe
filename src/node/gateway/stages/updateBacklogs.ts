import { addToBacklogs } from './addToBacklogs.js'
import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/** Counts the accepted pieces that wait at each service. */
export function updateBacklogs (services: ReadonlyMap<string, StageService>, jobs: Iterable<JobState>, nowMs: number): void {
  for (const { backlog } of services.values()) {
    backlog.onTime = 0
    backlog.late = 0
    backlog.committed = 0
    backlog.jobs = []
  }
  for (const state of jobs) {
    if (!state.isEnded) addToBacklogs(services, state, nowMs)
  }
}
