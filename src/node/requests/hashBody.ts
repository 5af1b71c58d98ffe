import { createHash } from 'node:crypto'

/** Hashes what identifies two submissions as the same request: kind and input, but not how the answer is delivered. */
export function hashBody (kind: string, input: unknown): string {
  return createHash('sha256').update(JSON.stringify([kind, input ?? null])).digest('hex')
}
