import type { Socket } from 'node:net'

/** Open connections of a stand-in. A silenced connection stays open and neither sends nor takes anything. */
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

  /** Silences all open connections but `exempt`, the one that carries the control call. */
  freezeAll (exempt: Socket): void {
    for (const socket of this.openSockets) if (socket !== exempt) this.freezeConnection(socket)
  }

  /** Silences `count` connections, the oldest first; new ones follow when fewer are open. */
  freezeSome (count: number, exempt: Socket): void {
    const chosen = [...this.openSockets].filter(socket => socket !== exempt && !this.frozen.has(socket)).slice(0, count)
    chosen.forEach(socket => this.freezeConnection(socket))
    this.newConnectionsToFreeze = count - chosen.length
  }

  closeAll (exempt?: Socket): void {
    for (const socket of this.openSockets) if (socket !== exempt) socket.destroy()
  }

  // Replacing the lowest write functions drops the bytes of answers that are under way, while the peer
  // sees an open connection, as when a stateful middlebox has lost the flow.
  private freezeConnection (socket: Socket): void {
    this.frozen.add(socket)
    const dropped = socket as unknown as { _write: unknown, _writev: unknown }
    dropped._write = (_chunk: unknown, _encoding: unknown, done: () => void) => done()
    dropped._writev = (_chunks: unknown, done: () => void) => done()
  }
}
