import type { ExperimentDay } from './experimentDay.js'
import type { ExperimentDeployment } from './experimentDeployment.js'

/** Checked options of the experiment tool. */
export interface ResolvedExperimentOptions {
  readonly deployment: ExperimentDeployment
  readonly days: readonly ExperimentDay[]
  readonly seed: number
  readonly jsonFile?: string
  readonly htmlFile?: string
}
