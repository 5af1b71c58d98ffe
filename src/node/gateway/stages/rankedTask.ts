import type { StageTask } from './stageTask.js'
import type { SchedulingClass } from './schedulingClass.js'

/** A ready task with its position in the queue of its service: by scheduling class, then by sort key. */
export interface RankedTask {
  readonly task: StageTask
  readonly schedulingClass: SchedulingClass
  /** Slack before the target, or before the deadline for late work. */
  readonly slackMs: number
  /** Arrival time plus offsets for the priority and the cost; 0 goes first in its class. */
  readonly sortKeyMs: number
}
