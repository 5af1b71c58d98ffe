/** What all scenarios of one call of the bench share. */
export interface ProofContext {
  readonly distDirectory: string
  readonly seed: number
  /** Mechanisms that are taken away. */
  readonly without: ReadonlySet<string>
}
