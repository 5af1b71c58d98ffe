import { buildErrorBody } from './buildErrorBody.js'
import type { ErrorHeaderEncoder } from './errorHeaderEncoder.js'
import type { ServerResponse } from 'node:http'
import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** The answer to one client request: written once, whole or visibly incomplete. */
export class ClientResponse {
  hasStarted = false
  isEnded = false
  /** The end of a started stream shows that it is whole. */
  isFramed = true

  constructor (
    private readonly response: ServerResponse,
    private readonly requestId: string | undefined,
    private readonly encodeErrorHeaders: ErrorHeaderEncoder,
    private readonly isClosing: () => boolean
  ) {}

  /** Bytes that the client has not read yet. */
  get unreadBytes (): number {
    return this.response.writableLength
  }

  /** An upstream's whole answer. */
  writeUpstreamResponse (head: UpstreamResponseHead, body: Buffer, method: string): void {
    if (this.isEnded || this.hasStarted) return
    this.isEnded = true
    const length = method === 'HEAD' && head.contentLength !== undefined ? head.contentLength : body.length
    this.writeUpstreamHead(head, head.isFramed || method === 'HEAD', ['content-length', String(length)])
    this.response.end(body)
  }

  /** Head of an upstream's stream; its length is not known. */
  startStream (head: UpstreamResponseHead): void {
    this.hasStarted = true
    this.isFramed = head.isFramed
    this.writeUpstreamHead(head, head.isFramed, [])
  }

  writeEvents (events: Buffer): void {
    if (!this.isEnded) this.response.write(events)
  }

  endStream (): void {
    if (this.isEnded) return
    this.isEnded = true
    this.response.end()
  }

  /** An answer of this system; `retryAfterMs` tells the client when to come back. */
  writeError (status: number, code: string, message: string, retryAfterMs?: number): void {
    if (this.isEnded) return
    if (this.hasStarted) return this.closeIncomplete()
    this.isEnded = true
    const body = buildErrorBody(code, message, status)
    this.writeHead(status, [...this.encodeErrorHeaders(this.requestId, retryAfterMs), 'content-length', String(Buffer.byteLength(body))])
    this.response.end(body)
  }

  /** Closes the connection, so that a started answer does not look complete. */
  closeIncomplete (): void {
    if (this.isEnded) return
    this.isEnded = true
    this.response.destroy()
  }

  /** An answer without framing ends with the connection, as the upstream's does: a length or chunks would state that it is whole. */
  private writeUpstreamHead ({ status, forwardedHeaders }: UpstreamResponseHead, isFramed: boolean, framing: readonly string[]): void {
    if (isFramed) return this.writeHead(status, [...forwardedHeaders, ...framing])
    this.response.removeHeader('transfer-encoding')
    this.response.writeHead(status, [...forwardedHeaders, 'connection', 'close'])
  }

  private writeHead (status: number, headers: string[]): void {
    if (this.isClosing()) headers.push('connection', 'close')
    this.response.writeHead(status, headers)
  }
}
