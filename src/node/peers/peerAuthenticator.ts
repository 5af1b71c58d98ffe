import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import { Metadata } from '@grpc/grpc-js'
import type { Clock } from '../../types/clock.js'
import { peerConstants } from './constants.js'
import { PeerUnauthenticatedError } from './peerUnauthenticatedError.js'

const hostKey = 'x-lt-host'
const timeKey = 'x-lt-time'
const nonceKey = 'x-lt-nonce'
const proofKey = 'x-lt-proof'
/** Separates the proofs of a call; base64 does not contain it. */
const proofSeparator = ','

/**
 * Mutual authentication of hosts with a shared secret that is never sent. The caller proves that it knows the
 * secret with an HMAC-SHA256 over its host id, the time, a nonce and the method path; the server does so with an
 * HMAC over its own host id and the caller's HMAC. While the secret is replaced, not all hosts know the new one, so a call
 * also carries proofs of the secrets before it.
 */
export class PeerAuthenticator {
  /** The newest secret first. */
  private secrets: readonly string[]

  constructor (private readonly hostId: string, secret: string, private readonly clock: Clock) {
    this.secrets = [secret]
  }

  /** Replaces the secret; the last ones before it are still accepted. */
  setSecret (secret: string): void {
    this.secrets = [secret, ...this.secrets.filter(other => other !== secret)].slice(0, peerConstants.maxSecrets)
  }

  /** Creates the metadata for a call to the method `path`. */
  createCallMetadata (path: string): Metadata {
    const time = String(Math.round(this.clock.readWallMs()))
    const nonce = randomBytes(peerConstants.nonceBytes).toString('base64')
    const metadata = new Metadata()
    metadata.set(hostKey, this.hostId)
    metadata.set(timeKey, time)
    metadata.set(nonceKey, nonce)
    metadata.set(proofKey, this.secrets.map(secret => hashFields(secret, 'call', this.hostId, time, nonce, path)).join(proofSeparator))
    return metadata
  }

  /** Returns the host id of the caller; throws `PeerUnauthenticatedError` if its proof is invalid or too old. */
  validateCallMetadata (metadata: Metadata, path: string): string {
    const [hostId, time] = [readField(metadata, hostKey), readField(metadata, timeKey)]
    if (hostId === '') throw new PeerUnauthenticatedError('the call names no host')
    const ageMs = Math.abs(this.clock.readWallMs() - Number(time))
    if (!(ageMs <= peerConstants.maxAuthenticationAgeMs)) throw new PeerUnauthenticatedError(`the proof of host ${hostId} is too old`)
    if (this.findProof(metadata, path) === undefined) {
      throw new PeerUnauthenticatedError(`the proof of host ${hostId} is wrong`)
    }
    return hostId
  }

  /** Creates the response metadata for an authenticated call to the method `path`. */
  createResponseMetadata (call: Metadata, path: string): Metadata {
    const metadata = new Metadata()
    const { secret, proof } = this.findProof(call, path) ?? { secret: this.secrets[0]!, proof: '' }
    metadata.set(hostKey, this.hostId)
    metadata.set(proofKey, hashFields(secret, 'answer', this.hostId, proof))
    return metadata
  }

  /** Whether the response comes from a host that knows one of the secrets. */
  isResponseAuthentic (call: Metadata, response: Metadata): boolean {
    const hostId = readField(response, hostKey)
    const answer = readField(response, proofKey)
    return this.secrets.some(secret => listProofs(call).some(proof => isEqual(answer, hashFields(secret, 'answer', hostId, proof))))
  }

  /** The proof of a call that is right, with its secret. */
  private findProof (call: Metadata, path: string): { readonly secret: string, readonly proof: string } | undefined {
    const [hostId, time, nonce] = [hostKey, timeKey, nonceKey].map(key => readField(call, key)) as [string, string, string]
    for (const secret of this.secrets) {
      const expected = hashFields(secret, 'call', hostId, time, nonce, path)
      if (listProofs(call).some(proof => isEqual(proof, expected))) return { secret, proof: expected }
    }
    return undefined
  }
}

function hashFields (secret: string, ...fields: readonly string[]): string {
  return createHmac('sha256', secret).update(JSON.stringify(fields)).digest('base64')
}

/** The proofs of a call; more than this process accepts itself are not looked at. */
function listProofs (call: Metadata): readonly string[] {
  return readField(call, proofKey).split(proofSeparator, peerConstants.maxSecrets)
}

function readField (metadata: Metadata, key: string): string {
  return String(metadata.get(key)[0] ?? '')
}

function isEqual (given: string, expected: string): boolean {
  const a = Buffer.from(given)
  const b = Buffer.from(expected)
  return a.length === b.length && timingSafeEqual(a, b)
}
