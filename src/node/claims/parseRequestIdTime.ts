import { validate, version } from 'uuid'

/**
 * Returns the timestamp of a UUIDv7 in milliseconds since the Unix epoch (RFC 9562, section 5.7), undefined for any
 * other string.
 */
export function parseRequestIdTime (requestId: string): number | undefined {
  if (!validate(requestId) || version(requestId) !== 7) return undefined
  return Number.parseInt(requestId.slice(0, 8) + requestId.slice(9, 13), 16)
}
