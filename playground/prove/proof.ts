import type { Scenario } from './scenario.js'

/** A proof: scenarios over real processes that must end without a violation. */
export interface Proof {
  readonly name: string
  readonly summary: string
  /** Mechanisms that `--without` takes away in the bench; each must make the proof fail. */
  readonly mechanisms: Readonly<Record<string, string>>
  readonly scenarios: readonly Scenario[]
}
