import { connect } from 'node:net'
import { crashConstants } from './constants.js'

/**
 * Checks whether the process behind an address has ended: its host then refuses connections. Resolves to false while
 * the address accepts them, and when it does not answer, because then the network may be cut.
 */
export async function checkUpstreamEnded (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    const end = (hasEnded: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(hasEnded)
    }
    const timer = setTimeout(() => { end(false) }, crashConstants.checkTimeoutMs)
    socket.once('connect', () => { end(false) })
    socket.once('error', (error: NodeJS.ErrnoException) => { end(error.code === 'ECONNREFUSED') })
  })
}
