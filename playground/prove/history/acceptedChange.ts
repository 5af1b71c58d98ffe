/** A contract change as an operator saw it: accepted between `startMs` and `endMs`. */
export interface AcceptedChange {
  readonly account: string
  readonly operator: string
  /** Revision that the operator based the change on. */
  readonly baseRevision: number
  /** Revision that the answer named; absent when the change was refused or its outcome is unknown. */
  readonly acceptedRevision?: number
  readonly startMs: number
  readonly endMs: number
}
