import type { ExperimentDay } from './experimentDay.js'
import type { RequestOutcome } from './requestOutcome.js'

/** Measurements of one simulated day. */
export interface ExperimentResult {
  /** Name of the simulated deployment. */
  readonly world: string
  readonly day: ExperimentDay
  readonly seed: number
  readonly outcomes: readonly RequestOutcome[]
  /** Accepted pieces (units of a stage's work, which a call takes in batches) that wait for a call, sampled over time. */
  readonly samples: ReadonlyArray<{ readonly atMs: number, readonly service: string, readonly queuedPieces: number }>
  readonly services: ReadonlyArray<{
    readonly name: string,
    readonly upstreams: number,
    readonly calls: number,
    readonly pieces: number,
    /** Mean share of the day that an upstream spent on calls. */
    readonly busyShare: number,
    /** Bytes of inputs from other failure domains. */
    readonly crossedBytes: number,
    /** Pieces that failed because an input no longer existed. */
    readonly inputsGone: number,
    /** Pieces that failed because the memory for results was full. */
    readonly withoutRoom: number
  }>
  /** Upper bound of the share of all credit that can be earned, from the capacity of the stage services; see `computeCreditBound`. */
  readonly creditBound: number
  /** Prompt tokens that the engines prefilled. */
  readonly readTokens: number
}
