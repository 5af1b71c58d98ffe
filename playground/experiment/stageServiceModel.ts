import type { StageSpec } from '../../src/node/gateway/model/stageSpec.js'

/** A stage service of a simulated deployment. */
export interface StageServiceModel {
  readonly name: string
  readonly spec: StageSpec
  /** Upstreams in each failure domain. */
  readonly upstreams: Readonly<Record<string, number>>
}
