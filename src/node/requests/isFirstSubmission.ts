import type { Clock } from '../../types/clock.js'
import { parseRequestIdTime } from '../claims/parseRequestIdTime.js'
import { requestConstants } from './constants.js'

/**
 * False when the id is so old that its caller may have submitted it to another host before, which may run
 * it later: a frozen or overloaded host registers a request late. Ids other than UUIDv7 carry no time.
 */
export function isFirstSubmission (requestId: string, receivedMs: number, clock: Clock): boolean {
  const idTimeMs = parseRequestIdTime(requestId)
  if (idTimeMs === undefined) return true
  const receivedWallMs = clock.readWallMs() - (clock.readMonotonicMs() - receivedMs)
  return receivedWallMs - idTimeMs < requestConstants.maxFirstSubmissionAgeMs
}
