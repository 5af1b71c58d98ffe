import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { Metadata } from '@grpc/grpc-js'
import type { Clock } from '../../types/clock.js'
import { peerConstants } from './constants.js'
import { PeerUnauthenticatedError } from './peerUnauthenticatedError.js'

const hostKey = 'x-lt-host'
const timeKey = 'x-lt-time'
const nonceKey = 'x-lt-nonce'
const proofKey = 'x-lt-proof'

/**
 * Mutual authentication of hosts with a shared secret that is never sent. The caller proves that it knows the
 * secret with an HMAC-SHA256 over its host id, the time, a nonce and the method path; the server does so with an
 * HMAC over its own host id and the caller's HMAC.
 */
export class PeerAuthenticator {
  constructor (private readonly hostId: string, private readonly secret: string, private readonly clock: Clock) {}

  /** Creates the metadata for a call to the method `path`. */
  createCallMetadata (path: string): Metadata {
    const time = String(Math.round(this.clock.readWallMs()))
    const nonce = randomBytes(peerConstants.nonceBytes).toString('base64')
    const metadata = new Metadata()
    metadata.set(hostKey, this.hostId)
    metadata.set(timeKey, time)
    metadata.set(nonceKey, nonce)
    metadata.set(proofKey, this.hashFields('call', this.hostId, time, nonce, path))
    return metadata
  }

  /** Returns the host id of the caller; throws `PeerUnauthenticatedError` if its proof is invalid or too old. */
  validateCallMetadata (metadata: Metadata, path: string): string {
    const [hostId, time, nonce, proof] = [hostKey, timeKey, nonceKey, proofKey].map(key => readField(metadata, key))
    if (hostId === '' || hostId === undefined) throw new PeerUnauthenticatedError('the call names no host')
    const ageMs = Math.abs(this.clock.readWallMs() - Number(time))
    if (!(ageMs <= peerConstants.maxAuthenticationAgeMs)) throw new PeerUnauthenticatedError(`the proof of host ${hostId} is too old`)
    if (!isEqual(proof, this.hashFields('call', hostId, time ?? '', nonce ?? '', path))) {
      throw new PeerUnauthenticatedError(`the proof of host ${hostId} is wrong`)
    }
    return hostId
  }

  /** Creates the response metadata for an authenticated call. */
  createResponseMetadata (call: Metadata): Metadata {
    const metadata = new Metadata()
    metadata.set(hostKey, this.hostId)
    metadata.set(proofKey, this.hashFields('answer', this.hostId, readField(call, proofKey)))
    return metadata
  }

  /** Whether the response comes from a host that knows the secret. */
  isResponseAuthentic (call: Metadata, response: Metadata): boolean {
    const hostId = readField(response, hostKey)
    return isEqual(readField(response, proofKey), this.hashFields('answer', hostId, readField(call, proofKey)))
  }

  private hashFields (...fields: readonly string[]): string {
    return createHmac('sha256', this.secret).update(JSON.stringify(fields)).digest('base64')
  }
}

function readField (metadata: Metadata, key: string): string {
  return String(metadata.get(key)[0] ?? '')
}

function isEqual (given: string | undefined, expected: string): boolean {
  const a = Buffer.from(given ?? '')
  const b = Buffer.from(expected)
  return a.length === b.length && timingSafeEqual(a, b)
}
