import type { RequestKindSpec } from '../../types/requestKindSpec.js'

/** An authenticated and parsed request from a caller. */
export interface Submission {
  readonly account: string
  readonly requestId: string
  /** True when the caller chose the request id, so that the request may already be known. */
  readonly isIdFromCaller: boolean
  readonly kind: string
  readonly spec: RequestKindSpec
  readonly input: unknown
  /**
   * Time in milliseconds from receipt to the deadline, from the contract and the deadline that the caller requested.
   */
  readonly deadlineMs: number
  /** Generation of the tokens that the caller already has; 0 when it has none. */
  readonly knownGeneration: number
}
