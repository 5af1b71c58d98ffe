import type { Registration } from './registration.js'

/** Encodes a registration as a peer message. */
export function encodeRegistration (registration: Registration) {
  const { identity, ownerId, epoch, hint, finished, takeoverFrom } = registration
  return {
    account: identity.account,
    requestId: identity.requestId,
    bodyHash: identity.bodyHash,
    ownerId,
    epoch,
    hintUpstreamId: hint?.upstreamId ?? '',
    hintStreamId: hint?.streamId ?? '',
    hintGeneration: hint?.generation ?? 0,
    finished,
    takeoverFrom: takeoverFrom ?? ''
  }
}
