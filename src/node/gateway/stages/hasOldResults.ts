import { stageConstants } from './constants.js'
import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/** Whether results of a job that have not been released are about to expire. Costs one comparison for each stage. */
export function hasOldResults (state: JobState, services: ReadonlyMap<string, StageService>, nowMs: number): boolean {
  for (const { isReleased, oldestMadeAtMs, work } of state.tasks.values()) {
    const lifetimeMs = services.get(work.service)?.spec.resultLifetimeMs ?? Infinity
    if (!isReleased && nowMs - oldestMadeAtMs >= lifetimeMs - stageConstants.resultExpiryMarginMs) return true
  }
  return false
}
