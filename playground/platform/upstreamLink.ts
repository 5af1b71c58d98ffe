import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { LinkCut } from './linkCut.js'

let hostCount = 0

/** A loopback host of its own, so that no other program takes the port while the path is closed. */
function createLoopbackHost (): string {
  hostCount++
  return `127.${10 + process.pid % 200}.${1 + Math.floor(hostCount / 250)}.${1 + hostCount % 250}`
}

/** A host's network path to one upstream, as a TCP proxy that a test cuts and heals. */
export class UpstreamLink {
  address = ''
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()
  private isSilent = false

  constructor (private readonly target: string) {}

  async start (): Promise<this> {
    const [host = createLoopbackHost(), port = '0'] = this.address === '' ? [] : this.address.split(':')
    const server = createServer(socket => { this.openPair(socket) })
    this.server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), host, resolve)
    })
    this.address = `${host}:${(server.address() as AddressInfo).port}`
    return this
  }

  stop (): void {
    this.server?.close()
    this.server = undefined
    for (const socket of this.sockets) socket.destroy()
  }

  /** Cuts the path until `openPath`. */
  closePath (kind: LinkCut): void {
    if (kind === 'silent') {
      this.isSilent = true
      for (const socket of this.sockets) socket.pause()
      return
    }
    this.server?.close()
    this.server = undefined
    if (kind === 'refused') for (const socket of this.sockets) socket.resetAndDestroy()
  }

  async openPath (): Promise<void> {
    this.isSilent = false
    for (const socket of this.sockets) socket.resume()
    if (this.server === undefined) await this.start()
  }

  private openPair (clientSocket: Socket): void {
    const [host, port] = this.target.split(':')
    const targetSocket = connect({ host, port: Number(port), noDelay: true })
    clientSocket.setNoDelay(true)
    this.joinSockets(clientSocket, targetSocket)
    this.joinSockets(targetSocket, clientSocket)
    if (this.isSilent) clientSocket.pause()
  }

  private joinSockets (source: Socket, destination: Socket): void {
    this.sockets.add(source)
    source.on('data', chunk => { if (!destination.destroyed) destination.write(chunk) })
    source.on('error', () => {})
    source.on('close', () => {
      this.sockets.delete(source)
      if (!this.isSilent) destination.destroy()
    })
  }
}
