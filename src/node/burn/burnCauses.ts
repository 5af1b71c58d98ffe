import type { BurnCause } from './burnCause.js'

/** What spent the error budget in the last 30 to 60 minutes, largest first. */
export interface BurnCauses {
  /** Error codes; `late` stands for whole answers after the objective's latency. */
  readonly codes: readonly BurnCause[]
  /** Slowest stages of the missed requests. */
  readonly stages: readonly BurnCause[]
  /** Upstreams of the slowest stages. */
  readonly upstreams: readonly BurnCause[]
}
