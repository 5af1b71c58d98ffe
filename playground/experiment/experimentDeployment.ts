import type { EngineServiceModel } from './engineServiceModel.js'
import type { ExperimentDay } from './experimentDay.js'
import type { RequestKind } from './requestKind.js'
import type { StageServiceModel } from './stageServiceModel.js'

/** A deployment whose stage scheduling is played in virtual time. */
export interface ExperimentDeployment {
  readonly name: string
  readonly hosts: number
  readonly linkMs: { readonly betweenDomains: number, readonly toClients: number }
  readonly stageServices: readonly StageServiceModel[]
  readonly engines: EngineServiceModel
  /** Neighbours slow each upstream by `factor` for a `share` of the spans of `everyMs`. */
  readonly noise: { readonly share: number, readonly factor: number, readonly everyMs: number }
  readonly kinds: readonly RequestKind[]
  readonly days: readonly ExperimentDay[]
}
