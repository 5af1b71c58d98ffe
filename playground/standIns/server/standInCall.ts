import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'
import { StandInError } from './standInError.js'

/** One HTTP call to a stand-in. */
export class StandInCall {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  /** Header `X-Host-Id`: id of the calling entry host. */
  readonly hostId: string | undefined

  constructor (
    private readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly body: string,
    private readonly waitBeforeResponse: () => Promise<void>
  ) {
    const url = new URL(request.url ?? '/', 'http://stand-in')
    this.method = request.method ?? 'GET'
    this.path = decodeURIComponent(url.pathname)
    this.query = url.searchParams
    this.hostId = request.headers['x-host-id']?.toString()
  }

  /** Parses the body as JSON with `schema`; throws `StandInError` (400) if it does not match. */
  parseBody<T> (schema: z.ZodType<T>): T {
    const result = schema.safeParse(this.parseJson())
    if (!result.success) throw new StandInError(400, result.error.message)
    return result.data
  }

  /** Parses a number from the query string; throws `StandInError` (400) if it is absent without a default or not a number. */
  parseNumber (name: string, defaultValue?: number): number {
    const text = this.query.get(name)
    const value = text === null || text === '' ? defaultValue : Number(text)
    if (value === undefined || !Number.isFinite(value)) throw new StandInError(400, `query parameter ${name} must be a number`)
    return value
  }

  /** Sends a JSON response; the fault `reorder` may delay it. */
  async sendJson (status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): Promise<void> {
    await this.waitBeforeResponse()
    this.sendNow(status, value, headers)
  }

  /** Sends a JSON response at once, unless the response has ended already. */
  sendNow (status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
    if (this.response.writableEnded || this.response.destroyed) return
    const text = JSON.stringify(value)
    this.response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers })
    this.response.end(text)
  }

  /** Closes the connection without a response. */
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
