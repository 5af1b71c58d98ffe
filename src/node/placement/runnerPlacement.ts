/** A model runner and the models it has loaded. */
export interface RunnerPlacement {
  readonly upstreamId: string
  readonly failureDomain: string
  readonly models: readonly string[]
  /** Number of models that the runner can have loaded at the same time. */
  readonly maxModels: number
}
