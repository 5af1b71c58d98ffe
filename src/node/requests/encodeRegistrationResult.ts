import type { RegistrationResult } from './registrationResult.js'

/** Encodes a registration result as a peer message. */
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
