import type { Clock } from '../../types/clock.js'
import { parseRequestIdTime } from '../claims/parseRequestIdTime.js'
import { requestConstants } from './constants.js'

/**
 * Returns false when the request id is so old that its caller may already have submitted it to another host. That host
 * may still run it, since a frozen or overloaded host registers a request late. Ids other than UUIDv7 have no time and
 * count as first submissions.
 */
export function isFirstSubmission (requestId: string, receivedMs: number, clock: Clock): boolean {
  const idTimeMs = parseRequestIdTime(requestId)
  if (idTimeMs === undefined) return true
  const receivedWallMs = clock.readWallMs() - (clock.readMonotonicMs() - receivedMs)
  return receivedWallMs - idTimeMs < requestConstants.maxFirstSubmissionAgeMs
}
