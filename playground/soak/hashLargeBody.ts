import { createHash } from 'node:crypto'

const maxPlainLength = 1024

/** Replaces a body over 1 KB by its length and hash, so that records stay small. */
export function hashLargeBody (body: string): string {
  if (body.length <= maxPlainLength) return body
  return `${body.length} ${createHash('sha1').update(body, 'latin1').digest('hex')}`
}
