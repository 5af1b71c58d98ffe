import type { Distribution } from './distribution.js'

/** A stage of a kind of request. */
export interface KindStage {
  readonly service: string
  /** Indexes of the stages whose results are its inputs. */
  readonly after: readonly number[]
  readonly resultBytes: number
  /** Share of the requests that have this stage. */
  readonly share: number
  readonly pieces: Distribution
  /** Time of a piece relative to the time that the service declares. */
  readonly workFactor: number
}
