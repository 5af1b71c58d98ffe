import { buildErrorBody } from './buildErrorBody.js'
import { ingressConstants } from './constants.js'
import { waitForArrivals } from '../../listeners/waitForArrivals.js'
import type { AnswerMemory } from '../answers/answerMemory.js'
import type { BrokenOffResponse } from './brokenOffResponse.js'
import type { ErrorHeaderEncoder } from './errorHeaderEncoder.js'
import type { ServerResponse } from 'node:http'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

interface ClientResponseOptions {
  readonly response: ServerResponse
  readonly requestId: string | undefined
  readonly encodeErrorHeaders: ErrorHeaderEncoder
  /** Decides whether the response closes the connection; `isLong`: whether the client may read it for a while. */
  readonly isClosing: (isLong: boolean) => boolean
  /** Whether the response closes the connection unless a request arrives behind it. */
  readonly isClosingPossible: () => boolean
  /** Whether requests on the same connection wait for the end of this response. */
  readonly hasFollowers: () => boolean
  /** Called when a started response is closed before its end. */
  readonly onBrokenOff: (brokenOff: BrokenOffResponse) => void
}

/**
 * The response to one client request. It is written once; the client recognizes an incomplete one by its closed
 * connection.
 */
export class ClientResponse {
  hasStarted = false
  isEnded = false
  private readonly response: ServerResponse
  private forwardedBytes = 0
  /** Resolves when a response that may close the connection is written. */
  private written: Promise<void> | undefined

  constructor (private readonly options: ClientResponseOptions) {
    this.response = options.response
  }

  /** Bytes that the client has not read yet. */
  get unreadBytes (): number {
    return this.response.writableLength
  }

  /**
   * Forwards an upstream's complete response. A short one without framing ends when the connection closes, as the
   * upstream's does, unless other requests wait on the connection.
   */
  writeUpstreamResponse (head: UpstreamResponseHead, body: Buffer, method: string): void {
    if (this.isEnded || this.hasStarted) return
    this.isEnded = true
    this.writeLast(() => { this.writeAnswer(head, body, method) })
  }

  private writeAnswer (
    { status, forwardedHeaders, contentLength, isFramed }: UpstreamResponseHead,
    body: Buffer,
    method: string
  ): void {
    const length = method === 'HEAD' && contentLength !== undefined ? contentLength : body.length
    const isShort = body.length <= ingressConstants.maxUnframedBytes
    if (isFramed || method === 'HEAD' || !isShort || this.options.hasFollowers()) {
      const isLong = body.length > ingressConstants.longAnswerBytes
      this.writeHead(status, [...forwardedHeaders, 'content-length', String(length)], isLong)
    } else {
      this.response.removeHeader('transfer-encoding')
      this.response.writeHead(status, [...forwardedHeaders, 'connection', 'close'])
    }
    this.response.end(body)
  }

  /**
   * Forwards the head of an upstream's stream. The response has chunked encoding whether the upstream states the end
   * of its stream or not: one that ends with its connection looks complete whatever closes it, the end of this process
   * too.
   */
  startStream ({ status, forwardedHeaders }: UpstreamResponseHead): void {
    if (this.isEnded) return
    this.hasStarted = true
    this.writeHead(status, [...forwardedHeaders], true)
  }

  writeEvents (events: Buffer): void {
    if (this.isEnded) return
    this.forwardedBytes += events.length
    this.response.write(events)
  }

  endStream (): void {
    if (this.isEnded) return
    this.isEnded = true
    this.response.end()
  }

  /** Counts the part of an ended response that the client has not read in the memory for answers until it has. */
  async registerUnread (memory: AnswerMemory, upstreamId: string): Promise<void> {
    await this.written
    const { response, unreadBytes } = this
    if (unreadBytes === 0 || response.destroyed) return
    const held = {
      upstreamId,
      countBytes: () => response.destroyed ? 0 : this.unreadBytes,
      onEvicted: () => { response.socket?.resetAndDestroy() }
    }
    memory.update(held, unreadBytes)
    response.once('close', () => { memory.remove(held) })
  }

  /** Sends an error response of the gateway; `retryAfterMs` tells the client when to retry. */
  writeError (status: number, code: string, message: string, retryAfterMs?: number): void {
    if (this.isEnded) return
    if (this.hasStarted) return this.closeIncomplete(message)
    this.isEnded = true
    const body = buildErrorBody(code, message, status)
    const headers = this.options.encodeErrorHeaders(this.options.requestId, retryAfterMs)
    this.writeLast(() => {
      this.writeHead(status, [...headers, 'content-length', String(Buffer.byteLength(body))])
      this.response.end(body)
    })
  }

  /**
   * Sends a whole error response while the client may still send its request. With `isClosing`, the connection is
   * closed after `endEarlyError`: before, the client would be reset and could lose the response.
   */
  writeEarlyError (
    status: number,
    code: string,
    message: string,
    retryAfterMs: number | undefined,
    isClosing: boolean
  ): void {
    if (this.isEnded) return
    this.isEnded = true
    const body = buildErrorBody(code, message, status)
    const headers = this.options.encodeErrorHeaders(this.options.requestId, retryAfterMs)
    const closing = isClosing ? ['connection', 'close'] : []
    this.response.writeHead(status, [...headers, 'content-length', String(Buffer.byteLength(body)), ...closing])
    this.response.write(body)
  }

  endEarlyError (): void {
    this.response.end()
  }

  /** Closes the connection, so that a started response does not look complete. */
  closeIncomplete (reason: string): void {
    if (this.isEnded) return
    this.isEnded = true
    if (this.hasStarted) {
      const { forwardedBytes, unreadBytes } = this
      this.options.onBrokenOff({ reason, forwardedBytes, unreadBytes, isFramed: this.response.chunkedEncoding })
    }
    // Without chunks, which HTTP/1.0 does not have, an orderly close would be the end of the response.
    if (this.hasStarted && !this.response.chunkedEncoding) this.response.socket?.resetAndDestroy()
    else this.response.destroy()
  }

  /**
   * Writes a whole response, one that may close the connection when the requests that have arrived behind it are read.
   */
  private writeLast (write: () => void): void {
    if (!this.options.isClosingPossible()) return write()
    this.written = waitForArrivals().then(() => {
      if (!this.response.destroyed) write()
    }).catch((error: Error) => {
      this.isEnded = false
      this.closeIncomplete(error.message)
    })
  }

  private writeHead (status: number, headers: string[], isLong = false): void {
    if (this.options.isClosing(isLong)) headers.push('connection', 'close')
    this.response.writeHead(status, headers)
  }
}
