import type { Objective } from './objective.js'
import type { StageSpec } from './stageSpec.js'

/** Pipeline, deadline and objective of one kind of request in a contract. */
export interface RequestKindSpec {
  readonly stages: readonly StageSpec[]
  readonly deadlineMs: number
  /** 0 is the lowest priority, 9 the highest. */
  readonly priority: number
  /** False for calls that run at most once. */
  readonly idempotent: boolean
  readonly objective: Objective
}
