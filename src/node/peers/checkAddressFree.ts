import { createServer } from 'node:net'
import { openListener } from '../listeners/openListener.js'
import { PeerUnavailableError } from '../../shared/peerUnavailableError.js'

/**
 * Rejects with `PeerUnavailableError` when nothing can listen on `address` (`ip:port`). A gRPC server keeps the result of
 * its first attempt to listen on an address, so that attempt has to succeed.
 */
export async function checkAddressFree (address: string): Promise<void> {
  const separator = address.lastIndexOf(':')
  const server = createServer(socket => { socket.destroy() })
  try {
    await openListener(server, { port: Number(address.slice(separator + 1)), host: address.slice(0, separator).replace(/^\[|\]$/g, '') })
  } catch (error) {
    throw new PeerUnavailableError(`cannot listen on ${address}`, { cause: error })
  }
  await new Promise(resolve => server.close(resolve))
}
