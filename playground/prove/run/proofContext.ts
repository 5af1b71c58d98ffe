/** Options that all scenarios of one `prove` run share. */
export interface ProofContext {
  readonly distDirectory: string
  readonly seed: number
  /** Number of deployments that run at the same time. */
  readonly concurrentDeployments: number
  /** Mechanisms that `--without` disables. */
  readonly disabledMechanisms: ReadonlySet<string>
}
