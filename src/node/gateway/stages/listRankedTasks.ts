import { stageConstants } from './constants.js'
import type { StageService } from './stageService.js'
import type { StageTask } from './stageTask.js'
import { SchedulingClass } from './schedulingClass.js'
import type { RankedTask } from './rankedTask.js'

/**
 * Lists the ready tasks of a service in queue order: on-time work, then late work with results of earlier stages, then
 * other late work; each class by arrival time, priority and cost. Work goes first whose job holds results that would soon
 * expire: inputs, or results that wait for others of the job. At a load peak they wait for up to their whole lifetime.
 * Queues hold work for several calls, from requests with different targets and different stages before this one.
 */
export function listRankedTasks (
  service: StageService,
  nowMs: number,
  isStartAllowed: (task: StageTask, schedulingClass: SchedulingClass) => boolean
): readonly RankedTask[] {
  const rankedTasks = [...service.readyTasks].map(task => buildRankedTask(task, nowMs))
    .filter(({ schedulingClass, task }) => task.jobState.hasStarted || isStartAllowed(task, schedulingClass))
  return rankedTasks.sort((a, b) => a.schedulingClass - b.schedulingClass || a.sortKeyMs - b.sortKeyMs)
}

function buildRankedTask (task: StageTask, nowMs: number): RankedTask {
  const { targetAtMs, deadlineAtMs } = task.jobState.job
  const onTimeSlackMs = targetAtMs - nowMs - task.remainingMs
  const isLate = task.jobState.isLate || onTimeSlackMs < 0
  const slackMs = isLate ? deadlineAtMs - nowMs - task.remainingMs : onTimeSlackMs
  const { sortKeyMs } = task.jobState
  const schedulingClass = findSchedulingClass(task, isLate, nowMs)
  return { task, slackMs, sortKeyMs: hasWaitingResults(task, nowMs) ? 0 : sortKeyMs, schedulingClass }
}

function findSchedulingClass (task: StageTask, isLate: boolean, nowMs: number): SchedulingClass {
  if (!isLate || hasWaitingResults(task, nowMs)) return SchedulingClass.onTime
  return task.work.after.length > 0 ? SchedulingClass.lateStarted : SchedulingClass.lateNotStarted
}

function hasWaitingResults (task: StageTask, nowMs: number): boolean {
  return nowMs - task.jobState.findOldestResultAtMs() >= stageConstants.maxResultWaitMs
}
