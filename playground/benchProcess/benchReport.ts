import type { DelayResult } from './delayResult.js'
import type { IdleSample } from './idleSample.js'
import type { RelayResult } from './relayResult.js'
import type { RelayVariant } from './relayVariant.js'

/** All measurements of a run. The innermost lists have one entry for each round. */
export interface BenchReport {
  readonly rounds: number
  readonly relays: ReadonlyArray<{ readonly variant: RelayVariant, readonly results: readonly RelayResult[] }>
  /** CPU time of the entry-host process for a request of one token, in milliseconds. */
  readonly shortRequestMs: readonly number[]
  readonly delays: readonly DelayResult[]
  readonly idle: readonly IdleSample[]
}
