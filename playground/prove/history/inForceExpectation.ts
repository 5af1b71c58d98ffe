/** A contract revision that must be in force, or superseded by a later one, on a live host by `dueAtMs`. */
export interface InForceExpectation {
  readonly hostId: string
  readonly account: string
  readonly revision: number
  readonly dueAtMs: number
}
