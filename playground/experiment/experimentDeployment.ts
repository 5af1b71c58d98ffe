import type { EngineServiceModel } from './engineServiceModel.js'
import type { ExperimentDay } from './experimentDay.js'
import type { RequestKind } from './requestKind.js'
import type { StageServiceModel } from './stageServiceModel.js'

/** A deployment whose stage scheduling is simulated in virtual time. */
export interface ExperimentDeployment {
  readonly name: string
  readonly hosts: number
  /** One-way delays. */
  readonly linkMs: { readonly betweenDomains: number, readonly toClients: number }
  readonly stageServices: readonly StageServiceModel[]
  readonly engines: EngineServiceModel
  /** Noise of neighbouring processes: a random `share` of the intervals of `everyMs` is slower by `factor` at each upstream. */
  readonly noise: { readonly share: number, readonly factor: number, readonly everyMs: number }
  readonly kinds: readonly RequestKind[]
  readonly days: readonly ExperimentDay[]
}
