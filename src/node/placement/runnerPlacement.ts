/** A model runner and the models it holds. */
export interface RunnerPlacement {
  readonly upstreamId: string
  readonly failureDomain: string
  readonly models: readonly string[]
  /** Models that the runner can hold at once. */
  readonly maxModels: number
}
