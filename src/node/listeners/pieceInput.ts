import { listenerConstants } from './constants.js'
import type { Socket } from 'node:net'

interface PieceInputOptions {
  readonly socket: Socket
  /** Whether the next piece is parsed: `later`, after `resume`, or not at all (`never`, which also drops all that follows). */
  readonly decidePiece: () => 'now' | 'later' | 'never'
}

const headEnd = Buffer.from('\r\n\r\n')

/**
 * Gives the HTTP parser the bytes of a connection in small pieces. The parser reads all requests of what it is given,
 * which may be 64 KB, before any of them is answered: several hundred requests, each of which takes heap and time. A piece
 * ends behind a head, if there is one: the parser copies a head that it gets in parts, and keeps the copy.
 */
export class PieceInput {
  private readonly parse: ((piece: Buffer) => void) | undefined
  /** Received bytes that the parser did not get yet. */
  private rest: Buffer | undefined
  private isStopped = false

  constructor (private readonly options: PieceInputOptions) {
    const { socket } = options
    this.parse = socket.listeners('data')[0] as typeof this.parse
    if (this.parse === undefined) return
    socket.removeListener('data', this.parse)
    socket.on('data', this.onData)
    // Node.js pauses a connection whose answers are unread, and its parser takes nothing until it resumes.
    socket.on('resume', () => { this.handleRest() })
  }

  /** Whether received bytes wait for the parser. */
  get hasRest (): boolean {
    return this.rest !== undefined
  }

  /** Continues after a piece that was to be parsed later, unless answers are unread: Node.js then resumes by itself. */
  resume (): void {
    if (this.hasRest && !this.isHeldByServer()) this.options.socket.resume()
  }

  /** Gives the parser nothing more. */
  stop (): void {
    this.isStopped = true
    this.rest = undefined
  }

  /**
   * Whether Node.js reads nothing because answers are unread. It asserts that its parser gets nothing then, and the state
   * of the stream does not tell: a resume that was asked for before ends a later pause.
   */
  private isHeldByServer (): boolean {
    return (this.options.socket as { readonly _paused?: boolean })._paused === true
  }

  private readonly onData = (chunk: Buffer): void => {
    if (this.isStopped) return
    if (this.rest === undefined) this.handlePieces(chunk)
    else this.rest = Buffer.concat([this.rest, chunk])
  }

  private handleRest (): void {
    const { rest } = this
    this.rest = undefined
    if (rest !== undefined) this.handlePieces(rest)
  }

  private handlePieces (bytes: Buffer): void {
    const { socket, decidePiece } = this.options
    let start = 0
    while (start < bytes.length) {
      const decision = decidePiece()
      if (decision === 'never') this.stop()
      if (this.isStopped || socket.destroyed) return
      if (decision === 'later' || this.isHeldByServer()) socket.pause()
      if (socket.isPaused()) {
        this.rest = bytes.subarray(start)
        return
      }
      const headEndAt = bytes.indexOf(headEnd, start + listenerConstants.parsedPieceBytes)
      const end = headEndAt < 0 ? bytes.length : headEndAt + headEnd.length
      this.parse!(bytes.subarray(start, end))
      start = end
    }
  }
}
