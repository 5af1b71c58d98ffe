import type { ExecutionState } from '../types/executionState.js'

/** Base of all failures. `code` is stable and documented in docs/guide/errors.md. */
export abstract class LycheetrackError extends Error {
  abstract readonly code: string
  /** HTTP status with which the caller and administration APIs report the failure. */
  readonly httpStatus: number = 500
  /** What is known about execution when a request fails with this error. */
  readonly ran: ExecutionState = 'unknown'

  constructor (message: string, options?: ErrorOptions) {
    super(message, options)
    this.name = new.target.name
  }
}
