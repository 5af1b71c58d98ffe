import type { Distribution } from './distribution.js'
import type { KindStage } from './kindStage.js'
import type { SharedPart } from './sharedPart.js'

/** A kind of request: a number of stages, and a generation after them. */
export interface RequestKind {
  readonly name: string
  /** Time to the first event within which a request is on time. */
  readonly latencyAimMs: number
  readonly timeoutMs: number
  /** Credit of a request on time. */
  readonly worth: number
  /** Credit of a late request. */
  readonly lateWorth: number
  readonly priority: number
  readonly retries: number
  readonly stages: readonly KindStage[]
  readonly sharedParts: readonly SharedPart[]
  /** Prompt tokens that only this request has. */
  readonly ownTokens: Distribution
  readonly events: Distribution
}
