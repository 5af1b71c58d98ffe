import type { StageTask } from './stageTask.js'
import type { TaskLane } from './taskLane.js'

/** Rank of a task in the queue of its service: by lane, then by order. */
export interface TaskRank {
  readonly task: StageTask
  readonly lane: TaskLane
  /** Time to spare before the aim, or before the deadline for late work. */
  readonly slackMs: number
  /** Place among tasks of the same lane. */
  readonly orderMs: number
}
