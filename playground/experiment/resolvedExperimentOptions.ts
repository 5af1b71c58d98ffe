import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentDeployment } from './experimentDeployment.js'

/** Validated command-line options of the experiment. */
export interface ResolvedExperimentOptions {
  readonly deployment: ExperimentDeployment
  readonly days: readonly ExperimentDay[]
  readonly seed: number
  readonly jsonFile?: string
  readonly htmlFile?: string
}
