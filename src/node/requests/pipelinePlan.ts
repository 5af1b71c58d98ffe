import type { StageSpec } from '../../types/stageSpec.js'

/** A request kind's stages prepared for execution. */
export interface PipelinePlan {
  /** In an order in which each stage follows the stages it needs. */
  readonly stages: readonly StageSpec[]
  /** The `generate` stage whose tokens the caller gets: the last one. */
  readonly streamed: StageSpec | undefined
  /** Stages that no other stage needs, without the streamed one; their outputs are the result. */
  readonly results: readonly StageSpec[]
  /** Longest chain of stages from each stage to the end, the stage itself first. */
  readonly remainingPaths: ReadonlyMap<string, readonly StageSpec[]>
}
