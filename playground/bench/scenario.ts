/** What happens in one scenario; times in milliseconds from the start. */
export interface Scenario {
  readonly name: string
  readonly durationMs: number
  /** Demand relative to usual. */
  readonly demand: (atMs: number, kind: string) => number
  /** Demand of one account relative to its share. */
  readonly accountDemand: (account: number) => number
  /** Contract rate of an account relative to its usual demand. */
  readonly contractFactor: number
  readonly slowed: boolean
  readonly stragglers: boolean
  readonly reportLagMs: number
  readonly cacheLagMs: number
  readonly cacheLoss: number
  readonly runnerLostAtMs: number | undefined
  readonly domainLostAtMs: number | undefined
  /** Window in which the service at the crest is measured. */
  readonly crest: { readonly startMs: number, readonly endMs: number } | undefined
  /** Prompt prefixes; few prefixes with a skewed popularity make hot spots. */
  readonly prefixCount: number
}
