import type { ExperimentResult } from './experimentResult.js'
import type { KindSummary } from './kindSummary.js'

/** Summary of an experiment. */
export interface ExperimentReport {
  /** Name of the simulated deployment. */
  readonly world: string
  readonly day: string
  readonly seed: number
  readonly total: KindSummary
  readonly kinds: readonly KindSummary[]
  /** Outcomes by the time at which requests were sent, in windows of 2 s. */
  readonly windows: readonly KindSummary[]
  readonly services: ReadonlyArray<ExperimentResult['services'][number] & { readonly piecesPerCall: number }>
  readonly queues: ExperimentResult['samples']
  /** Upper bound of `total.credit`, from the capacity of the stage services. */
  readonly creditBound: number
  /** Number of refused attempts. */
  readonly refusals: number
  /** Prompt tokens that the engines prefilled. */
  readonly readTokens: number
  readonly notPlayed: readonly string[]
}
