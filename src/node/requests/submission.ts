import type { RequestKindSpec } from '../../types/requestKindSpec.js'

/** A request as a caller submits it, after authentication and parsing. */
export interface Submission {
  readonly account: string
  readonly requestId: string
  /** True when the caller chose the id, so that the request may be known already. */
  readonly isIdFromCaller: boolean
  readonly kind: string
  readonly spec: RequestKindSpec
  readonly input: unknown
  /** Time from receipt to the deadline, contract and caller's wish combined. */
  readonly deadlineMs: number
  /** Generation that the caller has tokens of; 0 when it has none. */
  readonly knownGeneration: number
}
