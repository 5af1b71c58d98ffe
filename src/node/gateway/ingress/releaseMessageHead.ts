import type { IncomingMessage } from 'node:http'

/** Releases the texts of a head: Node.js keeps the message until its connection is closed, which may be late. */
export function releaseMessageHead (message: IncomingMessage): void {
  Object.assign(message, { headers: {}, rawHeaders: [], url: '' })
}
