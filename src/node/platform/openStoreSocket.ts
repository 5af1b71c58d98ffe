import { openSocket } from '../gateway/upstreams/openSocket.js'
import { PieceSocket } from '../gateway/upstreams/pieceSocket.js'
import { platformConstants } from './constants.js'
import { StoreUnavailableError } from '../../shared/storeUnavailableError.js'
import type { Socket } from 'node:net'

type Callback = (...result: [error: null, socket: Socket] | [error: Error, socket: null]) => void

/** Opens a TCP connection to the store, limited by the connect timeout. */
export function openStoreSocket (address: string, callback: Callback): void {
  openSocket({
    socket: new PieceSocket(),
    address,
    timeoutMs: platformConstants.connectTimeoutMs,
    createError: (message, cause) => new StoreUnavailableError(message, { cause })
  }, callback)
}
