/** A contract change as the operator saw it: sent at `startMs`, answered or given up at `endMs`. */
export interface AcceptedChange {
  readonly account: string
  readonly operator: string
  /** Revision that the change is based on. */
  readonly baseRevision: number
  /** Revision in the answer; absent when the change was refused or its outcome is unknown. */
  readonly acceptedRevision?: number
  readonly startMs: number
  readonly endMs: number
}
