import { stageConstants } from './constants.js'
import type { JobState } from './jobState.js'
import type { StageService } from './stageService.js'
import type { TaskRank } from './taskRank.js'

/**
 * Orders the ready tasks of a service: work that can still be on time before late work, each by the time to spare and the priority.
 * The load it answers: queues of some calls, in which requests have different aims and different stages before them.
 */
export function listTasksByRank (service: StageService, services: ReadonlyMap<string, StageService>, nowMs: number): readonly TaskRank[] {
  const ranks = [...service.ready].map(task => {
    const remainingMs = computeRemainingMs(task.job, services)
    const { aimAtMs, deadlineAtMs, priority } = task.job.job
    const onTimeSlackMs = aimAtMs - nowMs - remainingMs - stageConstants.engineReserveMs
    const isLate = onTimeSlackMs < 0
    const slackMs = isLate ? deadlineAtMs - nowMs - remainingMs : onTimeSlackMs
    return { task, isLate, slackMs, orderMs: slackMs + priority * stageConstants.priorityStepMs }
  })
  return ranks.sort((a, b) => Number(a.isLate) - Number(b.isLate) || a.orderMs - b.orderMs)
}

/** Time that the unfinished stages need when nothing waits. */
function computeRemainingMs (job: JobState, services: ReadonlyMap<string, StageService>): number {
  let totalMs = 0
  for (const { work } of job.listRemainingChain()) {
    const spec = services.get(work.service)?.spec
    if (spec !== undefined) totalMs += spec.callMs + Math.min(work.pieceCount, spec.batchSize) * spec.pieceMs
  }
  return totalMs
}
