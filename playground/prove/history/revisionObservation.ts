/** A contract revision that a host reported as in force at `atMs`. */
export interface RevisionObservation {
  readonly hostId: string
  /** Process start, so that a restarted host may begin again at an older revision that it then raises. */
  readonly incarnation: number
  readonly account: string
  readonly revision: number
  readonly atMs: number
}
