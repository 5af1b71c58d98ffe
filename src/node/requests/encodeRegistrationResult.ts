import type { RegistrationResult } from './registrationResult.js'

/** The wire form of the directory's answer. */
export function encodeRegistrationResult (result: RegistrationResult) {
  const { accepted, ownerId, epoch, bodyHash, hint, finished } = result
  return {
    accepted,
    ownerId,
    epoch,
    bodyHash,
    hintUpstreamId: hint?.upstreamId ?? '',
    hintStreamId: hint?.streamId ?? '',
    hintGeneration: hint?.generation ?? 0,
    finished
  }
}
