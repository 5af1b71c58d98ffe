import { ingressConstants } from './constants.js'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Tells a client that has left from one that has closed only its own direction and still reads. The former resets the
 * connection when bytes arrive. Interim responses are sent for this purpose until a response has begun.
 */
export class PresenceCheck {
  private elapsedMs = 0

  constructor (
    private readonly socket: Socket,
    /** Finds the response that the client is due next. */
    private readonly findResponse: () => ServerResponse | undefined,
    /** Called when the client cannot be asked, so that it counts as one that has left. */
    private readonly onLeft: () => void
  ) {}

  start (): void {
    const timer = setInterval(() => { this.runCheck() }, ingressConstants.presenceCheckMs)
    this.socket.once('close', () => { clearInterval(timer) })
    this.sendProbe()
  }

  private runCheck (): void {
    const { socket } = this
    this.elapsedMs += ingressConstants.presenceCheckMs
    if (ingressConstants.presenceProbesAtMs.includes(this.elapsedMs)) this.sendProbe()
    // Nothing is read after the client's end, so a reset shows only when something is written; it may be empty.
    if (socket.writable && !socket.writableNeedDrain) socket.write('')
  }

  private sendProbe (): void {
    const response = this.findResponse()
    if (response === undefined || response.headersSent) return
    // HTTP/1.0 has no interim responses.
    if (response.req.httpVersion === '1.1') response.writeContinue()
    else this.onLeft()
  }
}
