import type { IncomingMessage, ServerResponse } from 'node:http'

/** One request on a client's connection, with its response. */
export class ClientExchange {
  requestId: string | undefined
  /** Set when the request is admitted; whether an upstream was sent it. */
  isPassedOn = (): boolean => false
  private readonly turn: Promise<boolean>
  private resolveTurn!: (hasTurn: boolean) => void

  constructor (readonly message: IncomingMessage, readonly response: ServerResponse, readonly arrivedAtMs: number) {
    this.turn = new Promise(resolve => { this.resolveTurn = resolve })
  }

  /**
   * Resolves to true when the responses to all requests before this one have ended, or to false when the connection is
   * closed before.
   */
  async waitForTurn (): Promise<boolean> {
    return await this.turn
  }

  startTurn (): void {
    this.resolveTurn(true)
  }

  /** Tells that the request gets no response. */
  cancel (): void {
    this.resolveTurn(false)
  }
}
