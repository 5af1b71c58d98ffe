import type { ExecutionState } from '../types/executionState.js'

/** Base class of all errors. `code` is stable and documented in docs/guide/errors.md. */
export abstract class LycheetrackError extends Error {
  abstract readonly code: string
  /** HTTP status with which the caller and administration APIs report the error. */
  readonly httpStatus: number = 500
  /** Whether the request may have run when it fails with this error. */
  readonly ran: ExecutionState = 'unknown'

  constructor (message: string, options?: ErrorOptions) {
    super(message, options)
    this.name = new.target.name
  }
}
