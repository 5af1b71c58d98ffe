import { PieceSocket } from '../gateway/upstreams/pieceSocket.js'
import { platformConstants } from './constants.js'
import { StoreUnavailableError } from '../../shared/storeUnavailableError.js'
import type { Socket } from 'node:net'

type Callback = (...result: [error: null, socket: Socket] | [error: Error, socket: null]) => void

/** Opens a TCP connection to the store, limited by the connect timeout. */
export function openStoreSocket (address: string, callback: Callback): void {
  const [host, port] = address.split(':')
  const socket = new PieceSocket()
  const timer = setTimeout(() => {
    socket.destroy(new StoreUnavailableError(`${address} did not accept a connection in ${platformConstants.connectTimeoutMs} ms`))
  }, platformConstants.connectTimeoutMs)
  const onError = (error: Error): void => {
    clearTimeout(timer)
    callback(error, null)
  }
  socket.once('error', onError)
  socket.once('connect', () => {
    clearTimeout(timer)
    socket.off('error', onError)
    callback(null, socket)
  })
  socket.connect({ host: host!, port: Number(port), noDelay: true, keepAlive: true, keepAliveInitialDelay: 1000 })
}
