import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { PieceInput } from '../listeners/pieceInput.js'
import { serverConstants } from './constants.js'

interface CallerInput {
  readonly input: PieceInput
  /** Requests without a whole response. */
  openRequests: number
  /** Whether a request has begun since the connection had its last turn. */
  hasStarted: boolean
  /** Whether the connection waits for its turn. */
  isWaiting: boolean
}

/**
 * Limits how fast requests are read ahead on each connection; otherwise connections with thousands of requests ahead keep
 * all others waiting. After a piece with the begin of a request, a connection waits for its turn, and nothing is read
 * from it while `maxOpenRequests` of its requests are open. Each turn of the event loop reads a few waiting connections.
 */
export class CallerInputs {
  private readonly inputs = new WeakMap<Socket, CallerInput>()
  /** Connections that wait for their turn, the longest wait first. */
  private readonly waiting: CallerInput[] = []

  /** Takes over the input of a connection that the HTTP server has just accepted. */
  addConnection (socket: Socket): void {
    const input: CallerInput = {
      input: new PieceInput({ socket, decidePiece: () => this.decidePiece(input) }),
      openRequests: 0,
      hasStarted: false,
      isWaiting: false
    }
    this.inputs.set(socket, input)
  }

  /** Counts a request until its response is closed. */
  addRequest (request: IncomingMessage, response: ServerResponse): void {
    const input = this.inputs.get(request.socket)
    if (input === undefined) return
    input.openRequests++
    input.hasStarted = true
    response.once('close', () => {
      input.openRequests--
      input.input.resume()
    })
  }

  private decidePiece (input: CallerInput): 'now' | 'later' {
    // A response that is closed at once resumes the input in the same turn, so the wait goes on until the turn comes.
    if (input.isWaiting || input.openRequests >= serverConstants.maxOpenRequests) return 'later'
    if (!input.hasStarted) return 'now'
    input.isWaiting = true
    if (this.waiting.length === 0) this.scheduleTurn()
    this.waiting.push(input)
    return 'later'
  }

  private scheduleTurn (): void {
    setImmediate(() => { this.resumeWaiting() })
  }

  private resumeWaiting (): void {
    const resumed = this.waiting.splice(0, serverConstants.maxPiecesPerTurn)
    if (this.waiting.length > 0) this.scheduleTurn()
    for (const input of resumed) {
      input.isWaiting = false
      input.hasStarted = false
      input.input.resume()
    }
  }
}
