import type { ServerResponse } from 'node:http'
import type { AnswerCursor } from '../requests/answerCursor.js'
import type { AnswerEnd } from '../requests/answerEnd.js'
import type { RequestEntry } from '../requests/requestEntry.js'
import { buildErrorBody } from './buildErrorBody.js'
import { serverConstants } from './constants.js'
import type { FlushScheduler } from './flushScheduler.js'
import { writeJson } from './writeJson.js'

/**
 * Streams an answer log to one caller as server-sent events. The writer keeps a position in the log instead of
 * tokens: a slow caller falls behind in the log, and nothing is written while the buffer of its connection is full.
 */
export class SseWriter {
  private generation: number
  private offset: number
  private isWriteScheduled = false
  private isBlocked = false
  private isClosed = false
  /** False for HTTP/1.0 callers, whose responses end with the connection. */
  private isChunked = false
  private lastWriteMs = 0
  private readonly removeWaiter: () => void
  private readonly removeListener: () => void

  constructor (
    private readonly response: ServerResponse,
    private readonly entry: RequestEntry,
    private readonly scheduler: FlushScheduler,
    cursor: AnswerCursor | undefined
  ) {
    this.generation = cursor?.generation ?? 0
    this.offset = cursor?.offset ?? 0
    this.lastWriteMs = performance.now()
    this.removeWaiter = entry.addWaiter()
    this.removeListener = entry.log.onChange(() => this.handleChange())
  }

  /** Sends what the log already holds and follows the log until its end or until the caller disconnects. */
  start (): void {
    const { response, scheduler } = this
    response.on('drain', () => {
      this.isBlocked = false
      this.handleChange()
    })
    response.on('close', () => this.close())
    scheduler.add(this)
    if (response.destroyed) this.close()
    else this.writePending()
  }

  writePending (): void {
    this.isWriteScheduled = false
    if (this.isClosed) return
    let text = this.buildTokenEvents()
    const { end, tokens } = this.entry.log
    const isLastWrite = end !== undefined && this.offset >= tokens.length
    if (isLastWrite && !this.response.headersSent && text === '' && end.kind === 'error') {
      const headers: Record<string, string> = { 'request-id': this.entry.identity.requestId }
      if (end.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(end.retryAfterMs / 1000)))
      writeJson(this.response, end.httpStatus, buildErrorBody(end, this.entry.identity.requestId), headers)
      this.close()
      return
    }
    if (isLastWrite) text += this.buildEndEvent(end)
    if (text !== '') this.write(text)
    if (isLastWrite) {
      this.response.end(this.isChunked ? '0\r\n\r\n' : undefined)
      this.scheduleStalledClose()
      this.close()
    } else if (end !== undefined) this.handleChange()
  }

  sendKeepalive (nowMs: number): void {
    if (this.isClosed || nowMs - this.lastWriteMs < serverConstants.streamKeepaliveIntervalMs) return
    if (this.isBlocked) {
      if (nowMs - this.lastWriteMs > serverConstants.stalledCallerTimeoutMs) this.response.destroy()
      return
    }
    this.write(': keepalive\n\n')
  }

  private handleChange (): void {
    if (this.isWriteScheduled || this.isBlocked || this.isClosed) return
    // The first tokens after an idle period are sent at once; tokens that follow closely are batched.
    if (performance.now() - this.lastWriteMs > 10 * serverConstants.coalesceMs && this.entry.log.end === undefined) {
      this.writePending()
      return
    }
    this.isWriteScheduled = true
    this.scheduler.schedule(this)
  }

  private buildTokenEvents (): string {
    const { log } = this.entry
    let text = ''
    if (log.generation !== this.generation) {
      if (log.generation === 0) return ''
      if (this.generation !== 0) text = `event: restart\ndata: {"generation":${log.generation}}\n\n`
      this.generation = log.generation
      this.offset = 0
    }
    const { tokens } = log
    if (this.offset >= tokens.length) return text
    const end = Math.min(tokens.length, this.offset + serverConstants.maxTokensPerEvent)
    let list = tokens[this.offset]!
    for (let i = this.offset + 1; i < end; i++) list += ',' + tokens[i]
    this.offset = end
    return `${text}event: tokens\nid: ${this.generation}:${end}\ndata: {"tokens":[${list}]}\n\n`
  }

  private buildEndEvent (end: AnswerEnd): string {
    const { requestId } = this.entry.identity
    if (end.kind === 'error') return `event: error\ndata: ${JSON.stringify(buildErrorBody(end, requestId))}\n\n`
    return `event: done\ndata: ${JSON.stringify({ requestId, status: 'completed', tokenCount: end.tokenCount, result: end.result })}\n\n`
  }

  private write (text: string): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        'request-id': this.entry.identity.requestId
      })
      // The writer frames chunks itself, because Node would pass each chunk to the kernel in four pieces.
      this.isChunked = this.response.chunkedEncoding
      this.response.chunkedEncoding = false
    }
    this.lastWriteMs = performance.now()
    this.response.write(this.isChunked ? `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n` : text)
    this.isBlocked = this.response.writableLength > serverConstants.maxBufferedBytes
  }

  private scheduleStalledClose (): void {
    const timer = setTimeout(() => this.response.destroy(), serverConstants.stalledCallerTimeoutMs).unref()
    this.response.on('close', () => clearTimeout(timer))
  }

  private close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.removeListener()
    this.scheduler.remove(this)
    this.removeWaiter()
  }
}
