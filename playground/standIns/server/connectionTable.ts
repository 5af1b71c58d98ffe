import type { Socket } from 'node:net'

/** Open connections of a stand-in. A silenced connection stays open and neither sends nor takes anything. */
export class ConnectionTable {
  private readonly open = new Set<Socket>()
  private readonly silenced = new WeakSet<Socket>()
  private stallsLeft = 0

  addConnection (socket: Socket): void {
    this.open.add(socket)
    socket.on('close', () => this.open.delete(socket))
    socket.on('error', () => {})
    if (this.stallsLeft > 0) {
      this.stallsLeft--
      this.stopConnection(socket)
    }
  }

  isSilenced (socket: Socket): boolean {
    return this.silenced.has(socket)
  }

  /** Silences all open connections but `exempt`, the one that carries the control call. */
  stopAll (exempt: Socket): void {
    for (const socket of this.open) if (socket !== exempt) this.stopConnection(socket)
  }

  /** Silences `count` connections, the oldest first; new ones follow when fewer are open. */
  stopSome (count: number, exempt: Socket): void {
    const chosen = [...this.open].filter(socket => socket !== exempt && !this.silenced.has(socket)).slice(0, count)
    chosen.forEach(socket => this.stopConnection(socket))
    this.stallsLeft = count - chosen.length
  }

  closeAll (exempt?: Socket): void {
    for (const socket of this.open) if (socket !== exempt) socket.destroy()
  }

  // Replacing the lowest write functions drops the bytes of answers that are under way, while the peer
  // sees an open connection, as when a stateful middlebox has lost the flow.
  private stopConnection (socket: Socket): void {
    this.silenced.add(socket)
    const dropped = socket as unknown as { _write: unknown, _writev: unknown }
    dropped._write = (_chunk: unknown, _encoding: unknown, done: () => void) => done()
    dropped._writev = (_chunks: unknown, done: () => void) => done()
  }
}
