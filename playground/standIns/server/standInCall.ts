import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'
import { StandInError } from './standInError.js'

/** One HTTP call at a stand-in. */
export class StandInCall {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  /** `X-Host-Id` of the calling entry host. */
  readonly hostId: string | undefined

  constructor (
    private readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly body: string,
    private readonly holdAnswer: () => Promise<void>
  ) {
    const url = new URL(request.url ?? '/', 'http://stand-in')
    this.method = request.method ?? 'GET'
    this.path = decodeURIComponent(url.pathname)
    this.query = url.searchParams
    this.hostId = request.headers['x-host-id']?.toString()
  }

  /** The body as `schema` describes it; throws `StandInError` (400) otherwise. */
  parseBody<T> (schema: z.ZodType<T>): T {
    const result = schema.safeParse(this.parseJson())
    if (!result.success) throw new StandInError(400, result.error.message)
    return result.data
  }

  /** A number of the query string; throws `StandInError` (400) when it is absent and has no default. */
  parseNumber (name: string, absent?: number): number {
    const text = this.query.get(name)
    const value = text === null || text === '' ? absent : Number(text)
    if (value === undefined || !Number.isFinite(value)) throw new StandInError(400, `query parameter ${name} must be a number`)
    return value
  }

  /** Sends a JSON answer; the `reorder` fault may hold it. */
  async sendJson (status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): Promise<void> {
    await this.holdAnswer()
    this.sendNow(status, value, headers)
  }

  sendNow (status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
    if (this.response.writableEnded || this.response.destroyed) return
    const text = JSON.stringify(value)
    this.response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers })
    this.response.end(text)
  }

  /** Closes the connection without an answer. */
  closeConnection (): void {
    this.request.socket.destroy()
  }

  private parseJson (): unknown {
    try {
      return JSON.parse(this.body === '' ? '{}' : this.body)
    } catch (error) {
      throw new StandInError(400, `body is not JSON: ${String(error)}`)
    }
  }
}
