import { randomBytes } from 'node:crypto'

const secretBytes = 24

/** Creates a secret with which hosts authenticate each other. */
export function createPeerSecret (): string {
  return randomBytes(secretBytes).toString('base64')
}
