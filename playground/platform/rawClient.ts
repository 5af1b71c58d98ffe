import { connect } from 'node:net'
import { parseRawAnswers } from './parseRawAnswers.js'
import type { RawAnswer } from './rawAnswer.js'
import type { Socket } from 'node:net'

interface RawRequestOptions {
  readonly method?: string
  /** Path, or any other form of target. */
  readonly target: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

/** A client that sends raw bytes on one connection and keeps what it receives. */
export class RawClient {
  received = ''
  /** Whether the host has closed the connection. */
  isClosed = false
  private readonly socket: Socket

  constructor (address: string) {
    const [host, port] = address.split(':')
    this.socket = connect({ host: host!, port: Number(port), allowHalfOpen: true, noDelay: true })
    this.socket.on('data', chunk => { this.received += chunk.toString('latin1') })
    this.socket.on('error', () => {})
    this.socket.on('end', () => { this.isClosed = true })
    this.socket.on('close', () => { this.isClosed = true })
  }

  static buildRequest (id: string, { method = 'GET', target, headers = {}, body = '' }: RawRequestOptions): string {
    const fields = {
      Host: 'shop.example',
      'X-Request-Id': id,
      'X-Time-Remaining': '9000',
      ...body === '' ? {} : { 'Content-Length': String(body.length) },
      ...headers
    }
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`)
    return `${method} ${target} HTTP/1.1\r\n${lines.join('')}\r\n${body}`
  }

  /** Complete answers, without interim ones. */
  get answers (): readonly RawAnswer[] {
    return parseRawAnswers(this.received).filter(({ status }) => status >= 200)
  }

  /** Status and request id of each complete answer. */
  get summary (): readonly string[] {
    return this.answers.map(({ status, headers }) => `${status} ${headers['x-request-id'] ?? '-'}`)
  }

  send (bytes: string): this {
    this.socket.write(bytes, 'latin1')
    return this
  }

  /** Reads nothing more until `resumeReading`. */
  stopReading (): this {
    this.socket.pause()
    return this
  }

  resumeReading (): void {
    this.socket.resume()
  }

  /** Closes the client's own direction only. */
  endSending (): void {
    this.socket.end()
  }

  /** Closes the connection. */
  close (): void {
    this.socket.destroy()
  }
}
