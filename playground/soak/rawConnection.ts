import { connect } from 'node:net'
import { setTimeout as waitMs } from 'node:timers/promises'
import { hashLargeBody } from './hashLargeBody.js'
import { parseAnswers } from './parseAnswers.js'
import { soakConstants } from './constants.js'
import type { Socket } from 'node:net'
import type { SoakDraft } from './soakDraft.js'
import type { SoakRequest } from './soakRequest.js'

interface BatchOptions {
  /** Name of the form of the batch, for the records. */
  readonly form: string
  /** Time for which the last byte of the batch is held back; Infinity for good. */
  readonly heldMs?: number
  /** Time for which the client does not read. */
  readonly pausedMs?: number
  /** Bytes sent after the last request. */
  readonly tail?: string
  /** Whether the client ends its direction of the connection after the batch. */
  readonly isHalfClosed?: boolean
  /** When the client closes the connection at the latest. */
  readonly timeoutMs?: number
}

/** Connection of a client that sends several requests at once. */
export class RawConnection {
  private readonly socket: Socket
  private readonly host: string
  private received = ''
  private hasSent = false
  private isClosed = false
  private wasReset = false
  private onChange = (): void => {}

  /** `address`: `ip:port` of a host. */
  constructor (address: string) {
    const [host = '', port] = address.split(':')
    this.host = host
    this.socket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    this.socket.setEncoding('latin1')
    this.socket.on('data', (text: string) => {
      this.received += text
      this.onChange()
    })
    // The host's end is the end of the connection: what has no answer by then gets none.
    this.socket.on('end', () => { this.close() })
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasReset = error.code === 'ECONNRESET' || error.code === 'EPIPE'
      this.close()
    })
    this.socket.on('close', () => { this.close() })
  }

  get isOpen (): boolean {
    return !this.isClosed
  }

  close (): void {
    this.isClosed = true
    this.socket.destroy()
    this.onChange()
  }

  /** Sends the requests without waiting for answers between them; resolves when all have ended. */
  async sendBatch (drafts: readonly SoakDraft[], options: BatchOptions): Promise<readonly SoakRequest[]> {
    const { form, heldMs = 0, pausedMs = 0, tail = '', isHalfClosed = false, timeoutMs = soakConstants.clientTimeoutMs } = options
    const sentAtMs = performance.now()
    const isKept = this.hasSent
    this.hasSent = true
    this.received = ''
    let writtenAtMs: number | undefined
    let hasLeft = false
    const endTimes: number[] = []
    const ended = new Promise<void>(resolve => {
      this.onChange = () => {
        const count = parseAnswers(this.received).filter(answer => answer.isComplete).length
        while (endTimes.length < count) endTimes.push(performance.now())
        if (count >= drafts.length || this.isClosed) resolve()
      }
    })
    const timer = setTimeout(() => {
      hasLeft = true
      this.close()
    }, timeoutMs)
    if (pausedMs > 0) {
      this.socket.pause()
      setTimeout(() => { this.socket.resume() }, pausedMs)
    }
    const bytes = Buffer.from(drafts.map(encodeDraft).join(''), 'latin1')
    this.socket.write(bytes.subarray(0, -1))
    if (heldMs > 0) await Promise.race([ended, waitMs(Math.min(heldMs, timeoutMs))])
    if (heldMs < timeoutMs) {
      this.socket.write(bytes.subarray(-1), error => { if (error == null) writtenAtMs = performance.now() })
      if (tail !== '') this.socket.write(tail)
      if (isHalfClosed) this.socket.end()
    }
    await ended
    clearTimeout(timer)
    this.onChange = () => {}
    const endedAtMs = performance.now()
    const answers = parseAnswers(this.received)
    return drafts.map(({ headers, ...draft }, i): SoakRequest => {
      const answer = answers[i]
      return {
        ...draft,
        body: hashLargeBody(draft.body),
        form,
        sentAtMs,
        writtenAtMs,
        endedAtMs: endTimes[i] ?? endedAtMs,
        host: this.host,
        isKept: isKept || i > 0,
        hasLeft,
        wasReset: this.wasReset && answer === undefined,
        status: answer?.status,
        signature: answer?.headers.get('x-response-signature'),
        answeredId: answer?.headers.get('x-request-id'),
        answer: answer === undefined ? undefined : hashLargeBody(answer.body),
        isComplete: answer?.isComplete ?? false
      }
    })
  }
}

function encodeDraft ({ method, path, headers, body }: SoakDraft): string {
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${method} ${path} HTTP/1.1\r\n${fields.join('')}\r\n${body}`
}
