import type { IncomingMessage, ServerResponse } from 'node:http'
import type { InputError } from './inputError.js'

/** One request on a client's connection, with its response. */
export class ClientExchange {
  requestId: string | undefined
  /** Set when the request is admitted; whether an upstream was sent it. */
  isPassedOn = (): boolean => false
  /** Set when the rest of the request cannot be read. */
  inputError: InputError | undefined
  private readonly inputEnded: Promise<'incomplete'>
  private resolveInputEnded!: (body: 'incomplete') => void
  private readonly turn: Promise<boolean>
  private resolveTurn!: (hasTurn: boolean) => void

  constructor (readonly message: IncomingMessage, readonly response: ServerResponse, readonly arrivedAtMs: number) {
    this.inputEnded = new Promise(resolve => { this.resolveInputEnded = resolve })
    this.turn = new Promise(resolve => { this.resolveTurn = resolve })
  }

  /**
   * Resolves to true when the responses to all requests before this one have ended, or to false when the connection is
   * closed before.
   */
  async waitForTurn (): Promise<boolean> {
    return await this.turn
  }

  /** Resolves like `body`, or to `incomplete` when the rest of it cannot be read. */
  async waitForBody<Body> (body: Promise<Body>): Promise<Body | 'incomplete'> {
    return await Promise.race([body, this.inputEnded])
  }

  endInput (error: InputError): void {
    this.inputError = error
    this.resolveInputEnded('incomplete')
  }

  startTurn (): void {
    this.resolveTurn(true)
  }

  /** Tells that the request gets no response. */
  cancel (): void {
    this.resolveTurn(false)
  }
}
