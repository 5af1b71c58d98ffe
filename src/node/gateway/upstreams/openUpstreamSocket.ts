import { openSocket } from './openSocket.js'
import { UpstreamConnectError } from './upstreamConnectError.js'
import { UpstreamSocket } from './upstreamSocket.js'

type Callback = (...result: [error: null, socket: UpstreamSocket] | [error: Error, socket: null]) => void

interface SocketOptions {
  /** `ip:port` */
  readonly address: string
  readonly timeoutMs: number
  /** Called before all other listeners when the connection breaks. */
  readonly onReset: () => void
}

/** Opens a TCP connection to an upstream within a timeout. */
export function openUpstreamSocket ({ address, timeoutMs, onReset }: SocketOptions, callback: Callback): void {
  openSocket({
    socket: new UpstreamSocket(),
    address,
    timeoutMs,
    createError: (message, cause) => new UpstreamConnectError(message, { cause })
  }, (...result) => {
    const [, socket] = result
    // When a response has no length, undici treats the data before a reset as the complete response.
    socket?.on('error', onReset)
    callback(...result)
  })
}
