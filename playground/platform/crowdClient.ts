import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import type { Socket } from 'node:net'

/** One client of a crowd. It reads nothing until it is told to, and ignores the errors of its connection. */
export class CrowdClient {
  private readonly socket: Socket
  private timer: NodeJS.Timeout | undefined

  /** `fields`: header lines that each of its requests has besides those of the crowd. */
  constructor (address: string, readonly path: string, readonly fields: string) {
    const [host, port] = address.split(':')
    this.socket = connect({ host: host!, port: Number(port), allowHalfOpen: true, noDelay: true })
    this.socket.on('error', () => {})
    this.socket.on('close', () => { clearInterval(this.timer) })
  }

  get isClosed (): boolean {
    return this.socket.destroyed
  }

  /** Sends bytes at once. */
  send (bytes: string | Buffer): void {
    if (!this.isClosed) this.socket.write(bytes)
  }

  /** Sends pieces with a pause between them; ends early when the connection is closed or takes nothing for a second. */
  async sendPieces (pieces: Iterable<string | Buffer>, pauseMs: number): Promise<void> {
    for (const piece of pieces) {
      if (this.isClosed) return
      const isBuffered = !this.socket.write(piece)
      if (isBuffered && !await this.waitDrained()) return
      if (pauseMs > 0) await delay(pauseMs)
    }
  }

  /** Sends a text byte by byte until the connection is closed. */
  sendSlowly (text: string, intervalMs: number): void {
    let sent = 0
    this.timer = setInterval(() => { this.send(text[sent++ % text.length]!) }, intervalMs)
  }

  /** Reads all that arrives. */
  read (): void {
    this.socket.resume()
  }

  /** Reads a few bytes at a time until the connection is closed. */
  readSlowly (bytes: number, intervalMs: number): void {
    this.timer = setInterval(() => { this.socket.read(bytes) }, intervalMs)
  }

  /** Closes the client's own direction only. */
  endSending (): void {
    this.socket.end()
  }

  close (): void {
    clearInterval(this.timer)
    this.socket.destroy()
  }

  private async waitDrained (): Promise<boolean> {
    const controller = new AbortController()
    const onDrained = (): void => { controller.abort() }
    this.socket.once('drain', onDrained).once('close', onDrained)
    await delay(1000, undefined, { signal: controller.signal }).catch(() => {})
    this.socket.off('drain', onDrained).off('close', onDrained)
    return controller.signal.aborted && !this.isClosed
  }
}
