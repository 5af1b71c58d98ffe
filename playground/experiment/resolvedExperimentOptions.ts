import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentWorld } from './experimentWorld.js'

/** Checked options of the experiment tool. */
export interface ResolvedExperimentOptions {
  readonly world: ExperimentWorld
  readonly days: readonly ExperimentDay[]
  readonly seed: number
  readonly jsonFile?: string
  readonly htmlFile?: string
}
