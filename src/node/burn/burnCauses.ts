import type { BurnCause } from './burnCause.js'

/** Causes of the requests that missed their objective in the last 30 to 60 minutes, most frequent first. */
export interface BurnCauses {
  /** Error codes, and `late` for complete answers that took longer than the objective's latency. */
  readonly codes: readonly BurnCause[]
  /** The slowest stage of each missed request. */
  readonly stages: readonly BurnCause[]
  /** The upstream of that stage. */
  readonly upstreams: readonly BurnCause[]
}
