import { validate, version } from 'uuid'
import { RequestError } from '../requests/requestError.js'
import { serverConstants } from './constants.js'

/** Validates and normalizes the request id that a caller chose; undefined without one. Throws `RequestError`. */
export function parseRequestId (id: string | undefined, isRequired: boolean): string | undefined {
  if (id === undefined || id === '') {
    if (isRequired) throw new RequestError('request_id_required', 'calls that run at most once need a Request-Id header with a UUIDv7', 400, 'not_run')
    return undefined
  }
  if (isRequired && !(validate(id) && version(id) === 7)) throw new RequestError('request_id_invalid', 'the Request-Id is not a UUIDv7', 400, 'not_run')
  if (id.length > serverConstants.maxRequestIdLength || !/^[\w.-]+$/.test(id)) throw new RequestError('request_id_invalid', 'the Request-Id has characters other than letters, digits, ".", "_" and "-" or is too long', 400, 'not_run')
  // A UUID is the same in upper and lower case; both spellings must lead to the same claim.
  return validate(id) ? id.toLowerCase() : id
}
