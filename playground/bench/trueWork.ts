/** The actual cost of an attempt of a stage, which only the oracle policy may use. */
export interface TrueWork {
  readonly prefillMs: number
  /** Work of each unit. */
  readonly unitMs: number
  /** Tokens of a generation; 1 for other stages. */
  readonly unitCount: number
  readonly prefixHash: string | undefined
  readonly long: boolean
}
