import { LycheetrackError } from '../../../shared/lycheetrackError.js'
import type { AdminResponse } from '../../../types/adminResponse.js'
import { InvalidContractError } from '../invalidContractError.js'
import { RevisionConflictError } from '../revisionConflictError.js'

/** Builds the response to a failed administration request. Only a `LycheetrackError` reveals its details. */
export function buildErrorResponse (error: unknown): AdminResponse {
  if (!(error instanceof LycheetrackError)) {
    return { status: 500, body: { type: 'json', value: { error: { code: 'internal_error', message: 'the request failed', ran: 'unknown' } } } }
  }
  const details = {
    ...(error instanceof InvalidContractError ? { faults: error.faults } : {}),
    ...(error instanceof RevisionConflictError ? { revision: error.revision } : {})
  }
  const value = { error: { code: error.code, message: error.message, ran: error.ran, ...details } }
  return { status: error.httpStatus, body: { type: 'json', value } }
}
