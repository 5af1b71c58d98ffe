/** What all scenarios of one call of the bench share. */
export interface ProofContext {
  readonly distDirectory: string
  readonly seed: number
  /** Deployments that run side by side. */
  readonly concurrentDeployments: number
  /** Mechanisms that are taken away. */
  readonly disabledMechanisms: ReadonlySet<string>
}
