/** A model engine upstream and the models that it has loaded. */
export interface RunnerModels {
  readonly upstreamId: string
  readonly failureDomain: string
  readonly models: readonly string[]
}
