import type { Socket } from 'node:net'
import type { SocketOutput } from './socketOutput.js'

/** Node.js shows what the kernel has taken of a write only on the handle; its own timeouts use the same fields. */
interface SocketInternals {
  readonly _handle?: { readonly bytesWritten?: number, readonly writeQueueSize?: number } | null
}

/** Reads how much of what was written to a socket has left the process. */
export function readSocketOutput (socket: Socket): SocketOutput {
  const { bytesWritten, writeQueueSize } = (socket as unknown as SocketInternals)._handle ?? {}
  const unsentBytes = socket.writableLength
  // Without the handle's fields, only whole writes are seen.
  if (bytesWritten === undefined || writeQueueSize === undefined) return { unsentBytes, sentBytes: socket.bytesWritten - unsentBytes }
  return { unsentBytes, sentBytes: bytesWritten - writeQueueSize }
}
