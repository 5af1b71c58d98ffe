import { connect, createServer } from 'node:net'

/** A path to a TCP address, as a proxy that a case cuts and heals. */
export class Link {
  sockets = new Set()
  /** Connections that were opened while nothing passed. */
  waiting = new Set()
  state = 'open'

  constructor (target) {
    this.target = target
  }

  async start () {
    this.server = createServer({ pauseOnConnect: false, allowHalfOpen: true }, socket => { this.join(socket) })
    await new Promise(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${this.server.address().port}`
    return this
  }

  stop () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Nothing passes from now on, in neither direction; connections neither end nor are refused. */
  cutSilently () {
    this.state = 'silent'
    for (const socket of this.sockets) socket.pause()
  }

  /** All connections are reset, and new ones too. */
  cutWithReset () {
    this.state = 'reset'
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** All passes again: what was held up, and the ends of connections that one side has given up meanwhile. */
  heal () {
    const wasSilent = this.state === 'silent'
    this.state = 'open'
    if (!wasSilent) return
    for (const socket of this.sockets) {
      if (this.waiting.delete(socket)) this.connectOther(socket)
      else socket.resume()
    }
  }

  join (socket) {
    socket.on('error', () => {})
    socket.setNoDelay(true)
    this.sockets.add(socket)
    socket.on('close', () => { this.sockets.delete(socket) })
    if (this.state === 'reset') return socket.resetAndDestroy()
    if (this.state === 'silent') {
      this.waiting.add(socket)
      return socket.pause()
    }
    this.connectOther(socket)
  }

  connectOther (socket) {
    socket.resume()
    const [host, port] = this.target.split(':')
    const other = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    this.sockets.add(other)
    other.on('error', () => {})
    other.on('close', () => { this.sockets.delete(other) })
    this.pass(socket, other)
    this.pass(other, socket)
  }

  pass (from, to) {
    from.on('data', chunk => { if (!to.destroyed) to.write(chunk) })
    from.on('end', () => { if (this.state !== 'silent') to.end() })
    // While nothing passes, the other end does not learn that this one has closed its connection.
    from.on('close', () => { if (this.state !== 'silent' && !to.destroyed) to.destroy() })
    from.on('error', () => { if (this.state !== 'silent' && !to.destroyed) to.resetAndDestroy() })
  }
}
