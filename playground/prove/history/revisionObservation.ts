/** A contract revision that a host reported as in force at `atMs`. */
export interface RevisionObservation {
  readonly hostId: string
  /** Process id: a restarted host may begin with an older revision and catch up from there. */
  readonly incarnation: number
  readonly account: string
  readonly revision: number
  readonly atMs: number
}
