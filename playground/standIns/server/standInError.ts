import { LycheetrackError } from '../../../src/shared/lycheetrackError.js'

/** A call that a stand-in refuses, e.g. because of an invalid body. */
export class StandInError extends LycheetrackError {
  readonly code = 'stand_in_refused'

  constructor (override readonly httpStatus: number, message: string) {
    super(message)
  }
}
