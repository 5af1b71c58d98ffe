import type { StageSpec } from '../../types/stageSpec.js'

/** Execution plan of a request kind's stages. */
export interface PipelinePlan {
  /** All stages, each after the stages it depends on. */
  readonly stages: readonly StageSpec[]
  /** The last `generate` stage, whose tokens are streamed to the caller; undefined without such a stage. */
  readonly streamed: StageSpec | undefined
  /** Stages that no other stage depends on, except the streamed one. Their outputs form the result. */
  readonly results: readonly StageSpec[]
  /** Longest path from each stage to the end of the pipeline, starting with the stage itself. */
  readonly remainingPaths: ReadonlyMap<string, readonly StageSpec[]>
}
