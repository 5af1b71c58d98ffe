import type { ExperimentDay } from './experimentDay.js'
import type { RequestOutcome } from './requestOutcome.js'

/** What an experiment measured. */
export interface ExperimentResult {
  readonly world: string
  readonly day: ExperimentDay
  readonly seed: number
  readonly outcomes: readonly RequestOutcome[]
  /** Accepted pieces that wait, over time. */
  readonly samples: ReadonlyArray<{ readonly atMs: number, readonly service: string, readonly queuedPieces: number }>
  readonly services: ReadonlyArray<{
    readonly name: string,
    readonly upstreams: number,
    readonly calls: number,
    readonly pieces: number,
    /** Mean share of the day in which an upstream worked on a call. */
    readonly busyShare: number,
    /** Inputs that came from other failure domains. */
    readonly crossedBytes: number,
    /** Pieces that were not made because an input was gone, and because memory for results was full. */
    readonly inputsGone: number,
    readonly withoutRoom: number
  }>
  /** Upper bound of the share of the credit, from the capacity of the stage services. */
  readonly creditBound: number
  /** Prompt tokens that the engines had to read. */
  readonly readTokens: number
}
