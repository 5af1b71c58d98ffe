import type { StandInRequest } from './standInRequest.js'

/** An answer of an upstream that never ends. */
export interface EndlessAnswer {
  readonly start: (request: StandInRequest) => string
  /** What follows the start again and again, until the receiver closes the connection. */
  readonly rest: string
  readonly isStream?: boolean
}
