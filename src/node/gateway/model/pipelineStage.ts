/** A stage that runs before the request itself, as the configuration declares it. */
export interface PipelineStage {
  /** Position in the route's list, from 0. */
  readonly index: number
  readonly service: string
  /** Indexes of the stages whose results this stage takes as inputs. */
  readonly after: readonly number[]
  /** Approximate size of one result. */
  readonly resultBytes: number
}
