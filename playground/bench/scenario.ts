/** The demand and the faults of one scenario; times are in milliseconds from the start. */
export interface Scenario {
  readonly name: string
  readonly durationMs: number
  /** Demand relative to usual. */
  readonly demand: (atMs: number, kind: string) => number
  /** Demand of one account relative to its share. */
  readonly accountDemand: (account: number) => number
  /** Contract rate of an account relative to its usual demand. */
  readonly contractFactor: number
  /** Whether a share of the runners is slow at times. */
  readonly slowed: boolean
  /** Whether some attempts take many times as long as usual. */
  readonly stragglers: boolean
  readonly reportLagMs: number
  readonly cacheLagMs: number
  readonly cacheLoss: number
  readonly runnerLostAtMs: number | undefined
  readonly domainLostAtMs: number | undefined
  /** The load peak, for which service during and after it is measured. */
  readonly crest: { readonly startMs: number, readonly endMs: number } | undefined
  /** Prompt prefixes; few prefixes with a skewed popularity make hot spots. */
  readonly prefixCount: number
}
