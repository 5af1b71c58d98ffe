import type { Socket } from 'node:net'

/** Open connections of a stand-in. A frozen connection stays open, but its calls are ignored and its responses are dropped. */
export class ConnectionTable {
  private readonly openSockets = new Set<Socket>()
  private readonly frozen = new WeakSet<Socket>()
  private newConnectionsToFreeze = 0

  addConnection (socket: Socket): void {
    this.openSockets.add(socket)
    socket.on('close', () => this.openSockets.delete(socket))
    socket.on('error', () => {})
    if (this.newConnectionsToFreeze > 0) {
      this.newConnectionsToFreeze--
      this.freezeConnection(socket)
    }
  }

  isFrozen (socket: Socket): boolean {
    return this.frozen.has(socket)
  }

  /** Freezes all open connections except `exempt`, which carries the control call. */
  freezeAll (exempt: Socket): void {
    for (const socket of this.openSockets) if (socket !== exempt) this.freezeConnection(socket)
  }

  /** Freezes `count` connections, the oldest first; if fewer are open, the next new ones as well. */
  freezeSome (count: number, exempt: Socket): void {
    const sockets = [...this.openSockets].filter(socket => socket !== exempt && !this.frozen.has(socket)).slice(0, count)
    sockets.forEach(socket => this.freezeConnection(socket))
    this.newConnectionsToFreeze = count - sockets.length
  }

  closeAll (exempt?: Socket): void {
    for (const socket of this.openSockets) if (socket !== exempt) socket.destroy()
  }

  // Replacing the internal write functions of the socket also drops responses in progress, while the peer sees
  // an open connection, as when a stateful middlebox has lost its entry for the connection.
  private freezeConnection (socket: Socket): void {
    this.frozen.add(socket)
    const writable = socket as unknown as { _write: unknown, _writev: unknown }
    writable._write = (_chunk: unknown, _encoding: unknown, done: () => void) => done()
    writable._writev = (_chunks: unknown, done: () => void) => done()
  }
}
