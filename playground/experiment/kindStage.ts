import type { Distribution } from './distribution.js'

/** A stage of a kind of request. */
export interface KindStage {
  readonly service: string
  readonly after: readonly number[]
  readonly resultBytes: number
  /** Share of the requests that have this stage. */
  readonly share: number
  readonly pieces: Distribution
  /** Time of a piece relative to the service's declared one. */
  readonly workFactor: number
}
