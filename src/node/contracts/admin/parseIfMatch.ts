import { AdminRequestError } from './adminRequestError.js'

/** Parses the revision in an `If-Match` header, quoted or not; throws `AdminRequestError` if it is missing or not a number. */
export function parseIfMatch (value: string | undefined): number {
  if (value === undefined) throw new AdminRequestError('precondition_required', 428, 'send If-Match with the revision that you have seen, 0 for a new contract')
  const match = /^"?(\d{1,15})"?$/.exec(value.trim())
  if (!match) throw new AdminRequestError('precondition_invalid', 400, 'If-Match must be a revision number')
  return Number(match[1])
}
