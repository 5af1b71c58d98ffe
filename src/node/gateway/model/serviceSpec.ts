import type { ColdSpec } from './coldSpec.js'
import type { EngineSpec } from './engineSpec.js'
import type { StageSpec } from './stageSpec.js'

/** A group of interchangeable upstreams. */
export interface ServiceSpec {
  readonly name: string
  /** Connections that one upstream accepts from all hosts together. */
  readonly connectionLimit: number
  readonly healthPath: string
  readonly engine?: EngineSpec
  readonly stage?: StageSpec
  /** Undefined when cold upstreams take as many requests as others. */
  readonly cold?: ColdSpec
}
