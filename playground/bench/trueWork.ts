/** What a stage really costs, known to the oracle only. */
export interface TrueWork {
  readonly prefillMs: number
  readonly unitMs: number
  readonly unitCount: number
  readonly prefixHash: string | undefined
  readonly long: boolean
}
