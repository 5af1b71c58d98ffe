import { stageConstants } from './constants.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'
import { TaskLane } from './taskLane.js'
import type { TaskRank } from './taskRank.js'

/**
 * Orders the ready tasks of a service: work that can still be on time before late work that has begun, and that before
 * other late work; each by the time to spare and the priority. Begun work does not wait until its results expire.
 * The load it answers: queues of some calls, in which requests have different aims and different stages before them.
 */
export function listTasksByRank (service: StageService, nowMs: number, isFreeToBegin: (task: StageTask) => boolean): readonly TaskRank[] {
  const ranks = [...service.ready].map(task => buildRank(task, nowMs)).filter(({ lane, task }) => lane !== TaskLane.late || isFreeToBegin(task))
  return ranks.sort((a, b) => a.lane - b.lane || a.orderMs - b.orderMs)
}

function buildRank (task: StageTask, nowMs: number): TaskRank {
  const { aimAtMs, deadlineAtMs, priority } = task.job.job
  const onTimeSlackMs = aimAtMs - nowMs - task.remainingMs
  const isLate = task.job.isLate || onTimeSlackMs < 0
  const slackMs = isLate ? deadlineAtMs - nowMs - task.remainingMs : onTimeSlackMs
  const orderMs = task.job.startedAtMs + priority * stageConstants.priorityStepMs
  return { task, slackMs, orderMs: isLate && isExpiring(task, nowMs) ? 0 : orderMs, lane: findLane(task, isLate, nowMs) }
}

function findLane (task: StageTask, isLate: boolean, nowMs: number): TaskLane {
  if (!isLate || isExpiring(task, nowMs)) return TaskLane.onTime
  return task.work.after.length > 0 ? TaskLane.lateBegun : TaskLane.late
}

function isExpiring (task: StageTask, nowMs: number): boolean {
  return task.work.after.length > 0 && nowMs - task.readyAtMs >= stageConstants.maxInputAgeMs
}
