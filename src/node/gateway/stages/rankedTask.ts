import type { StageTask } from './stageTask.js'
import type { SchedulingClass } from './schedulingClass.js'

/** Rank of a task in the queue of its service: by lane, then by order. */
export interface RankedTask {
  readonly task: StageTask
  readonly schedulingClass: SchedulingClass
  /** Time to spare before the aim, or before the deadline for late work. */
  readonly slackMs: number
  /** Place among tasks of the same lane. */
  readonly sortKeyMs: number
}
