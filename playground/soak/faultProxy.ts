import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { LinkFault } from './linkFault.js'

/** TCP proxy on one network link that can delay, drop in one or both directions, or reset the traffic of its connections. */
export class FaultProxy {
  address = ''
  private fault: LinkFault = 'none'
  private readonly sockets = new Set<Socket>()
  private readonly server = createServer(socket => { this.openPair(socket) })

  /** `target`: address (`ip:port`) that the proxy connects to. */
  constructor (public target: string) {}

  async start (): Promise<this> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    return this
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** `reset` resets the connections that are open now; the other faults last until the next call. */
  applyFault (fault: LinkFault): void {
    this.fault = fault
    if (fault === 'reset') for (const socket of this.sockets) socket.resetAndDestroy()
  }

  private openPair (clientSocket: Socket): void {
    const [host, port] = this.target.split(':')
    const targetSocket = connect({ host, port: Number(port), noDelay: true })
    clientSocket.setNoDelay(true)
    this.joinSockets(clientSocket, targetSocket, ['silent', 'silent-to-target'])
    this.joinSockets(targetSocket, clientSocket, ['silent', 'silent-from-target'])
  }

  /**
   * Forwards the bytes and the close of one direction. Bytes dropped by a silent fault are lost for good, so the
   * connection stays silent after the fault has ended.
   */
  private joinSockets (source: Socket, destination: Socket, silentFaults: readonly LinkFault[]): void {
    let isSilent = false
    let wasReset = false
    const waiting: Array<() => void> = []
    // What comes after delayed bytes waits behind them, also when the delay has ended meanwhile.
    const forward = (action: () => void): void => {
      if (this.fault !== 'delay' && waiting.length === 0) return action()
      waiting.push(action)
      setTimeout(() => { waiting.shift()!() }, delayMs)
    }
    this.sockets.add(source)
    source.on('data', chunk => {
      isSilent ||= silentFaults.includes(this.fault)
      if (isSilent) return
      forward(() => { if (!destination.destroyed) destination.write(chunk) })
    })
    source.on('error', () => { wasReset = true })
    source.on('close', () => {
      this.sockets.delete(source)
      if (isSilent) return
      forward(() => {
        if (wasReset) destination.resetAndDestroy()
        else destination.destroy()
      })
    })
  }
}

const delayMs = 150
