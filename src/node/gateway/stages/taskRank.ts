import type { StageTask } from './stageTask.js'

/** Rank of a task in the queue of its service; lower goes first. */
export interface TaskRank {
  readonly task: StageTask
  /** The request can no longer be on time. */
  readonly isLate: boolean
  /** Time to spare before the aim, or before the deadline for late work. */
  readonly slackMs: number
  /** Place among tasks of the same lane. */
  readonly orderMs: number
}
