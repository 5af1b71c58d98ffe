import { createHash, timingSafeEqual } from 'node:crypto'

/** Compares the digests of both tokens in constant time; digests have equal lengths, which the comparison needs. */
export function isOperatorToken (authorization: string | undefined, operatorToken: string): boolean {
  const givenToken = /^Bearer +(\S+)$/i.exec(authorization ?? '')?.[1] ?? ''
  const computeDigest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(computeDigest(givenToken), computeDigest(operatorToken)) && operatorToken !== ''
}
