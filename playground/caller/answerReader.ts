import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { request, type Dispatcher } from 'undici'
import type { AnswerCheck } from './answerCheck.js'
import type { CallerApiError } from './callerApiError.js'
import type { ConnectionOutcome } from './connectionOutcome.js'

interface ReaderOptions {
  readonly origin: string
  readonly token: string
  readonly requestId: string
  readonly body: string
  readonly dispatcher: Dispatcher
  /** Aborts the connection, e.g. when the caller gives up. */
  readonly signal: AbortSignal
  readonly silenceMs: number
  readonly onFirstToken: () => void
}

/** Sends a request, or rejoins it, over one connection and reads the answer. */
export class AnswerReader {
  private outcome: ConnectionOutcome | undefined
  private silenceTimer: NodeJS.Timeout | undefined
  private readonly silenceAbort = new AbortController()

  constructor (private readonly options: ReaderOptions, private readonly check: AnswerCheck) {}

  async readAnswer (): Promise<ConnectionOutcome> {
    const { origin, token, requestId, body, dispatcher, signal } = this.options
    const lastEventId = this.check.lastEventId
    this.startSilenceTimer()
    try {
      const answer = await request(`${origin}/v1/requests`, {
        method: 'POST',
        dispatcher,
        signal: AbortSignal.any([signal, this.silenceAbort.signal]),
        headersTimeout: 0,
        bodyTimeout: 0,
        body,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', 'request-id': requestId, ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }) }
      })
      const isStream = String(answer.headers['content-type']).startsWith('text/event-stream')
      if (isStream) await this.readEvents(answer.body)
      else await this.readJson(answer.statusCode, answer.headers['retry-after'], answer.body)
    } catch (error) {
      // A connection that breaks after the end of the answer does not change the outcome.
      return this.outcome ?? { type: 'broken', reason: this.silenceAbort.signal.aborted ? 'silence' : formatReason(error) }
    } finally {
      clearTimeout(this.silenceTimer)
    }
    return this.outcome ?? { type: 'broken', reason: 'connection closed before the end of the answer' }
  }

  private startSilenceTimer (): void {
    clearTimeout(this.silenceTimer)
    this.silenceTimer = setTimeout(() => this.silenceAbort.abort(), this.options.silenceMs)
  }

  private async readEvents (stream: AsyncIterable<Buffer>): Promise<void> {
    const parser = createParser({ onEvent: event => { this.outcome ??= this.handleEvent(event) } })
    const decoder = new TextDecoder()
    for await (const chunk of stream) {
      this.startSilenceTimer()
      parser.feed(decoder.decode(chunk, { stream: true }))
      if (this.outcome) return
    }
  }

  private handleEvent (event: EventSourceMessage): ConnectionOutcome | undefined {
    const data = JSON.parse(event.data)
    switch (event.event) {
      case 'tokens': {
        this.options.onFirstToken()
        const violation = this.check.addTokens(event.id ?? '', data.tokens)
        return violation === undefined ? undefined : { type: 'violated', violation }
      }
      case 'restart':
        this.check.applyRestart(data.generation)
        return undefined
      case 'done': {
        const violation = this.check.validateDone(this.options.requestId, data)
        return violation === undefined ? { type: 'answered', result: data.result } : { type: 'violated', violation }
      }
      case 'error':
        return { type: 'error', error: data.error ?? data, status: 200 }
      default:
        return { type: 'violated', violation: `unknown event ${String(event.event)}` }
    }
  }

  private async readJson (status: number, retryAfter: string | string[] | undefined, stream: AsyncIterable<Buffer>): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of stream) {
      this.startSilenceTimer()
      chunks.push(chunk)
    }
    const answer = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    if (status === 200) {
      const violation = this.check.validateJson(this.options.requestId, answer)
      this.outcome = violation === undefined ? { type: 'answered', result: answer.result } : { type: 'violated', violation }
    } else {
      const error: CallerApiError = answer.error
      const retryAfterMs = error.retryAfterMs ?? (retryAfter === undefined ? undefined : Number(retryAfter) * 1000)
      this.outcome = { type: 'error', error: { ...error, retryAfterMs }, status }
    }
  }
}

function formatReason (error: unknown): string {
  return String((error as { code?: unknown }).code ?? error)
}
