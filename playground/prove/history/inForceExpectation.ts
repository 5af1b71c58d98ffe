/** A revision that must be in force on a live host by `byMs`. */
export interface InForceExpectation {
  readonly hostId: string
  readonly account: string
  readonly revision: number
  readonly dueAtMs: number
}
