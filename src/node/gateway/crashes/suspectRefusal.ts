import type { SuspectKind } from './suspectKind.js'

/** A prompt part or a request that may not be sent to upstreams. */
export interface SuspectRefusal {
  readonly kind: SuspectKind
  /** Id of the part, or digest of the request. */
  readonly id: string
  /** Upstreams that ended since an answer to it last began. */
  readonly crashCount: number
  /** Time until it may be sent once as a trial; 0 when the trial is due. */
  readonly trialInMs: number
}
