import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

interface ConnectionPair {
  readonly clientSocket: Socket
  readonly targetSocket: Socket
  isSilent: boolean
}

/**
 * TCP proxy on one network link. `setOpenConnectionsSilent` makes the open connections silent for good: they stay open
 * and deliver nothing. New connections work.
 */
export class SilencingProxy {
  private readonly pairs = new Set<ConnectionPair>()
  private readonly server = createServer(socket => this.openPair(socket))

  /** `target`: address (`ip:port`) that the proxy connects to. */
  constructor (private readonly target: string) {}

  /** Resolves with the address of the proxy. */
  async start (): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, '127.0.0.1', resolve)
    })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Returns the number of connections that became silent. */
  setOpenConnectionsSilent (): number {
    const open = [...this.pairs].filter(pair => !pair.isSilent)
    for (const pair of open) pair.isSilent = true
    return open.length
  }

  stop (): void {
    this.server.close()
    for (const { clientSocket, targetSocket } of this.pairs) {
      clientSocket.destroy()
      targetSocket.destroy()
    }
  }

  private openPair (clientSocket: Socket): void {
    const [address, port] = this.target.split(':')
    const targetSocket = connect({ host: address, port: Number(port), noDelay: true })
    clientSocket.setNoDelay(true)
    const pair: ConnectionPair = { clientSocket, targetSocket, isSilent: false }
    this.pairs.add(pair)
    this.joinSockets(pair, clientSocket, targetSocket)
    this.joinSockets(pair, targetSocket, clientSocket)
  }

  // Data, ends and resets of a silent connection are dropped, so neither side notices what the other does.
  private joinSockets (pair: ConnectionPair, source: Socket, destination: Socket): void {
    source.on('data', chunk => { if (!pair.isSilent) destination.write(chunk) })
    source.on('error', () => {})
    source.on('close', () => {
      if (!pair.isSilent) destination.destroy()
      if (pair.clientSocket.destroyed && pair.targetSocket.destroyed) this.pairs.delete(pair)
    })
  }
}
