import type { StageOperation } from './stageOperation.js'

/** One stage of a request kind. Stages form a directed acyclic graph through `after`. */
export interface StageSpec {
  readonly name: string
  readonly operation: StageOperation
  /** Upstream pool that serves the stage, e.g. `encoders`, `runners`, `bell-control`. */
  readonly pool: string
  /** Names of the stages whose results this stage needs. */
  readonly after: readonly string[]
  /** Model name, for `generate` only. */
  readonly model?: string
  /** Maximum number of generated tokens, for `generate` only. */
  readonly maxTokens?: number
  /** Operation of the plain service, for `call` only, e.g. `issue`. */
  readonly serviceOperation?: string
}
