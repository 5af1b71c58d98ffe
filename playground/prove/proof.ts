import type { Scenario } from './scenario.js'

/** A named set of fault-injection scenarios over real processes that must end without a violated invariant. */
export interface Proof {
  readonly name: string
  readonly summary: string
  /** Mechanisms that `--without` can disable, with the effect. Without any one of them the proof must fail. */
  readonly mechanisms: Readonly<Record<string, string>>
  readonly scenarios: readonly Scenario[]
}
