import type { Socket } from 'node:net'

interface ConnectOptions<S extends Socket> {
  readonly socket: S
  /** `ip:port`; an IPv6 address is in brackets. */
  readonly address: string
  readonly timeoutMs: number
  /** Builds the error of a connection that was not opened. */
  readonly createError: (message: string, cause?: Error) => Error
}

type ConnectCallback<S extends Socket> = (...result: [error: null, socket: S] | [error: Error, socket: null]) => void

/** Opens a TCP connection within a timeout. */
export function openSocket<S extends Socket> (options: ConnectOptions<S>, callback: ConnectCallback<S>): void {
  const { socket, address, timeoutMs, createError } = options
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  const port = Number(address.slice(separator + 1))
  const timer = setTimeout(() => {
    socket.destroy(createError(`${address} did not accept a connection in ${timeoutMs} ms`))
  }, timeoutMs)
  const onError = (error: Error): void => {
    clearTimeout(timer)
    callback(createError(`${address}: ${error.message}`, error), null)
  }
  socket.once('error', onError)
  socket.once('connect', () => {
    clearTimeout(timer)
    socket.off('error', onError)
    callback(null, socket)
  })
  socket.connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: 1000 })
}
