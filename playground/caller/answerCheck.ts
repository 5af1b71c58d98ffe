import type { CallerRequest } from './callerRequest.js'

/**
 * Puts an answer together over all connections of one request and checks that it is whole and its
 * own. No I/O. Methods return the violation, if any.
 */
export class AnswerCheck {
  private generation: string | undefined
  private offset = 0
  private restartEventCount = 0

  constructor (private readonly request: Pick<CallerRequest, 'marker' | 'tokenCount'>) {}

  get tokenCount (): number {
    return this.offset
  }

  get restartCount (): number {
    return this.restartEventCount
  }

  /** `Last-Event-ID` for a rejoin. */
  get lastEventId (): string | undefined {
    return this.generation === undefined || this.offset === 0 ? undefined : `${this.generation}:${this.offset}`
  }

  /** Takes a `tokens` event; `id` is `<generation>:<offset after>`. */
  addTokens (id: string, tokens: readonly string[]): string | undefined {
    const [generation, endOffset] = id.split(':')
    if (this.generation !== undefined && generation !== this.generation) return `generation ${generation} follows ${this.generation} without a restart`
    if (Number(endOffset) !== this.offset + tokens.length) return `event ${id} with ${tokens.length} tokens follows offset ${this.offset}`
    this.generation = generation
    for (const token of tokens) {
      if (token.trim() !== `${this.request.marker}.${this.offset}`) return `token ${JSON.stringify(token)} at offset ${this.offset} of ${this.request.marker}`
      this.offset++
    }
    return undefined
  }

  /** Takes a `restart` event: the tokens so far are discarded. */
  applyRestart (generation: number): void {
    this.generation = String(generation)
    this.offset = 0
    this.restartEventCount++
  }

  /** Takes the end of a streamed answer. */
  validateDone (requestId: string, done: { readonly requestId?: unknown, readonly status?: unknown, readonly tokenCount?: unknown, readonly result?: unknown }): string | undefined {
    const expected = this.request.tokenCount ?? 0
    if (done.requestId !== requestId) return `answer of request ${String(done.requestId)}`
    if (done.status !== 'completed') return `status ${String(done.status)}`
    if (this.offset !== expected) return `${this.offset} of ${expected} tokens`
    if (done.tokenCount !== undefined && done.tokenCount !== this.offset) return `token count ${String(done.tokenCount)} after ${this.offset} tokens`
    return this.validateResult(done.result)
  }

  /** Takes a plain JSON answer. */
  validateJson (requestId: string, answer: { readonly requestId?: unknown, readonly status?: unknown, readonly result?: unknown, readonly text?: unknown }): string | undefined {
    const tokens = typeof answer.text === 'string' ? answer.text.split(/\s+/).filter(Boolean) : []
    this.offset = 0
    this.generation = undefined
    const violation = tokens.length > 0 ? this.addTokens(`0:${tokens.length}`, tokens) : undefined
    return violation ?? this.validateDone(requestId, { ...answer, requestId: answer.requestId, tokenCount: undefined })
  }

  /** Every marker in the result is the request's; a kind that does not generate has one at least. */
  private validateResult (result: unknown): string | undefined {
    const markers = [...JSON.stringify(result ?? {}).matchAll(/"marker":"([^"]*)"/g)].map(match => match[1])
    const foreign = markers.find(marker => marker !== this.request.marker)
    if (foreign !== undefined) return `result carries marker ${foreign}`
    if (this.request.tokenCount === undefined && markers.length === 0) return 'result carries no marker'
    return undefined
  }
}
