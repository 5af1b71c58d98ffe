import type { CallerRequest } from './callerRequest.js'

/**
 * Assembles the answer to one request over all its connections and checks that it is complete and belongs to the
 * request. Does no I/O. Methods return a description of the violation, or undefined.
 */
export class AnswerCheck {
  private generation: string | undefined
  private offset = 0
  private restartEventCount = 0

  constructor (private readonly request: Pick<CallerRequest, 'marker' | 'tokenCount'>) {}

  /** Tokens received since the last restart. */
  get receivedTokenCount (): number {
    return this.offset
  }

  get restartCount (): number {
    return this.restartEventCount
  }

  /** Value of `Last-Event-ID` for a rejoin; undefined before the first token. */
  get lastEventId (): string | undefined {
    return this.generation === undefined || this.offset === 0 ? undefined : `${this.generation}:${this.offset}`
  }

  /** Applies a `tokens` event; `id` is `<generation>:<offset after the event>`. */
  addTokens (id: string, tokens: readonly string[]): string | undefined {
    const [generation, endOffset] = id.split(':')
    if (this.generation !== undefined && generation !== this.generation) return `generation ${generation} follows ${this.generation} without a restart`
    if (Number(endOffset) !== this.offset + tokens.length) return `event ${id} with ${tokens.length} tokens follows offset ${this.offset}`
    this.generation = generation
    for (const token of tokens) {
      if (token.trim() !== `${this.request.marker}.${this.offset}`) return `token ${JSON.stringify(token)} at offset ${this.offset} instead of "${this.request.marker}.${this.offset}"`
      this.offset++
    }
    return undefined
  }

  /** Applies a `restart` event: the tokens so far are discarded. */
  applyRestart (generation: number): void {
    this.generation = String(generation)
    this.offset = 0
    this.restartEventCount++
  }

  /** Validates the `done` event that ends a streamed answer. */
  validateDone (requestId: string, done: { readonly requestId?: unknown, readonly status?: unknown, readonly tokenCount?: unknown, readonly result?: unknown }): string | undefined {
    const expected = this.request.tokenCount ?? 0
    if (done.requestId !== requestId) return `answer to request ${String(done.requestId)} instead of ${requestId}`
    if (done.status !== 'completed') return `status ${String(done.status)} instead of completed`
    if (this.offset !== expected) return `${this.offset} of ${expected} tokens`
    if (done.tokenCount !== undefined && done.tokenCount !== this.offset) return `token count ${String(done.tokenCount)} after ${this.offset} tokens`
    return this.validateResult(done.result)
  }

  /** Validates a JSON answer, which is not streamed. */
  validateJson (requestId: string, answer: { readonly requestId?: unknown, readonly status?: unknown, readonly result?: unknown, readonly text?: unknown }): string | undefined {
    const tokens = typeof answer.text === 'string' ? answer.text.split(/\s+/).filter(Boolean) : []
    this.offset = 0
    this.generation = undefined
    // A JSON answer has no generations, so it is checked as generation 0.
    const violation = tokens.length > 0 ? this.addTokens(`0:${tokens.length}`, tokens) : undefined
    return violation ?? this.validateDone(requestId, { ...answer, requestId: answer.requestId, tokenCount: undefined })
  }

  /** Every marker in the result must be the request's. The result of a kind that does not generate tokens must have one. */
  private validateResult (result: unknown): string | undefined {
    const markers = [...JSON.stringify(result ?? {}).matchAll(/"marker":"([^"]*)"/g)].map(match => match[1])
    const foreign = markers.find(marker => marker !== this.request.marker)
    if (foreign !== undefined) return `result contains marker ${foreign} instead of ${this.request.marker}`
    if (this.request.tokenCount === undefined && markers.length === 0) return 'result contains no marker'
    return undefined
  }
}
