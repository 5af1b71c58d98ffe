import { UpstreamConnectError } from './upstreamConnectError.js'
import { upstreamConstants } from './constants.js'
import { UpstreamSocket } from './upstreamSocket.js'

type Callback = (...result: [error: null, socket: UpstreamSocket] | [error: Error, socket: null]) => void

/** Opens a TCP connection to an upstream, limited by the connect timeout. `onReset` is called before all other listeners when the connection breaks. */
export function openUpstreamSocket (address: string, onReset: () => void, callback: Callback): void {
  const [host, port] = address.split(':')
  const socket = new UpstreamSocket()
  socket.connect({ host: host!, port: Number(port), noDelay: true, keepAlive: true, keepAliveInitialDelay: 1000 })
  const timer = setTimeout(() => { socket.destroy(new UpstreamConnectError(`${address} did not accept a connection in ${upstreamConstants.connectTimeoutMs} ms`)) }, upstreamConstants.connectTimeoutMs)
  const onError = (error: Error): void => {
    clearTimeout(timer)
    callback(new UpstreamConnectError(`${address}: ${error.message}`, { cause: error }), null)
  }
  socket.once('error', onError)
  socket.once('connect', () => {
    clearTimeout(timer)
    socket.off('error', onError)
    // When a response has no length, undici treats the data before a reset as the complete response.
    socket.on('error', onReset)
    // A reset that is polled together with data is reported as the end. The kernel has no peer of a socket that was reset.
    socket.once('end', () => { if (socket.remoteAddress === undefined) onReset() })
    callback(null, socket)
  })
}
