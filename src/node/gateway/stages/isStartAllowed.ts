import { SchedulingClass } from './schedulingClass.js'
import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'

/**
 * Whether a job may begin its first stage. Work waits before it, where it occupies no memory, while its later stages could
 * not take its results before they expire, as when a service has lost most upstreams at a load peak. Late work also
 * waits until all services of its job have spare capacity.
 */
export function isStartAllowed (
  { tasks }: JobState,
  schedulingClass: SchedulingClass,
  services: ReadonlyMap<string, StageService>,
  nowMs: number
): boolean {
  for (const { work } of tasks.values()) {
    const service = services.get(work.service)
    if (service === undefined) return false
    if (work.after.length > 0 && !service.hasTimeForMore(nowMs)) return false
    if (schedulingClass === SchedulingClass.lateNotStarted && !service.hasSpareCapacity()) return false
  }
  return true
}
