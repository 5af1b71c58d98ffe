import { stageConstants } from './constants.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'
import { SchedulingClass } from './schedulingClass.js'
import type { RankedTask } from './rankedTask.js'

/**
 * Orders the ready tasks of a service: work that can still be on time before late work that has begun, and that before
 * other late work; each by the time to spare and the priority. Begun work does not wait until its results expire.
 * The load it answers: queues of some calls, in which requests have different aims and different stages before them.
 */
export function listRankedTasks (service: StageService, nowMs: number, isStartAllowed: (task: StageTask) => boolean): readonly RankedTask[] {
  const ranks = [...service.readyTasks].map(task => buildRankedTask(task, nowMs)).filter(({ schedulingClass: lane, task }) => lane !== SchedulingClass.lateNotStarted || isStartAllowed(task))
  return ranks.sort((a, b) => a.schedulingClass - b.schedulingClass || a.sortKeyMs - b.sortKeyMs)
}

function buildRankedTask (task: StageTask, nowMs: number): RankedTask {
  const { targetAtMs: aimAtMs, deadlineAtMs, priority } = task.jobState.job
  const onTimeSlackMs = aimAtMs - nowMs - task.remainingMs
  const isLate = task.jobState.isLate || onTimeSlackMs < 0
  const slackMs = isLate ? deadlineAtMs - nowMs - task.remainingMs : onTimeSlackMs
  const orderMs = task.jobState.startedAtMs + priority * stageConstants.priorityStepMs
  return { task, slackMs, sortKeyMs: isLate && isExpiring(task, nowMs) ? 0 : orderMs, schedulingClass: findSchedulingClass(task, isLate, nowMs) }
}

function findSchedulingClass (task: StageTask, isLate: boolean, nowMs: number): SchedulingClass {
  if (!isLate || isExpiring(task, nowMs)) return SchedulingClass.onTime
  return task.work.after.length > 0 ? SchedulingClass.lateStarted : SchedulingClass.lateNotStarted
}

function isExpiring (task: StageTask, nowMs: number): boolean {
  return task.work.after.length > 0 && nowMs - task.readyAtMs >= stageConstants.maxInputAgeMs
}
