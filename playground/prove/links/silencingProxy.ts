import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

interface Pair {
  readonly near: Socket
  readonly far: Socket
  isSilent: boolean
}

/** TCP proxy on one link. `updateSilence` makes the open connections silent for good; new ones work. */
export class SilencingProxy {
  private readonly pairs = new Set<Pair>()
  private readonly server = createServer(near => this.openPair(near))

  /** `target`: `ip:port` behind the proxy. */
  constructor (private readonly target: string) {}

  /** Resolves with the address of the proxy. */
  async start (): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(0, '127.0.0.1', resolve)
    })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Number of connections that went silent. */
  setOpenConnectionsSilent (): number {
    const open = [...this.pairs].filter(pair => !pair.isSilent)
    for (const pair of open) pair.isSilent = true
    return open.length
  }

  stop (): void {
    this.server.close()
    for (const { near, far } of this.pairs) {
      near.destroy()
      far.destroy()
    }
  }

  private openPair (near: Socket): void {
    const [address, port] = this.target.split(':')
    const far = connect({ host: address, port: Number(port), noDelay: true })
    near.setNoDelay(true)
    const pair: Pair = { near, far, isSilent: false }
    this.pairs.add(pair)
    this.joinSockets(pair, near, far)
    this.joinSockets(pair, far, near)
  }

  // Data, ends and resets of a silent connection are dropped: neither side hears anything of the other.
  private joinSockets (pair: Pair, from: Socket, to: Socket): void {
    from.on('data', chunk => { if (!pair.isSilent) to.write(chunk) })
    from.on('error', () => {})
    from.on('close', () => {
      if (!pair.isSilent) to.destroy()
      if (pair.near.destroyed && pair.far.destroyed) this.pairs.delete(pair)
    })
  }
}
