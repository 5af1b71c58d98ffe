import { request } from 'undici'
import { cliConstants } from './constants.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { InvalidServerResponseError } from './invalidServerResponseError.js'
import { ServerResponseError } from './serverResponseError.js'
import { ServerUnreachableError } from './serverUnreachableError.js'
import type { Dispatcher } from 'undici'

interface CallOptions {
  readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** Sends HTTP calls to one entry host with a bearer token. */
export class ServerConnection {
  constructor (readonly server: string, private readonly token: string) {}

  /**
   * Sends a call and reads its JSON response. Rejects with `ServerUnreachableError`, `ServerResponseError`
   * or `InvalidServerResponseError`.
   */
  async send (path: string, options: CallOptions = {}): Promise<unknown> {
    const { statusCode, body } = await this.open(path, options, cliConstants.responseTimeoutMs)
    const text = await this.runCall(() => body.text())
    if (statusCode < 400) return text === '' ? {} : this.parseJson(text, statusCode)
    throw this.buildResponseError(text, statusCode)
  }

  /** Reads an NDJSON stream until it ends; blank lines are heartbeats. Rejects like `send`, also after `silenceMs` without data. */
  async * openJsonLines (path: string, silenceMs: number, signal: AbortSignal): AsyncGenerator<unknown> {
    const { statusCode, body } = await this.open(path, {}, silenceMs, signal)
    if (statusCode >= 400) throw this.buildResponseError(await this.runCall(() => body.text()), statusCode)
    let partialLine = ''
    const chunks = body.setEncoding('utf8')[Symbol.asyncIterator]()
    while (true) {
      const chunk = await this.runCall(() => chunks.next())
      if (chunk.done === true) return
      const lines = (partialLine + String(chunk.value)).split('\n')
      partialLine = lines.pop()!
      for (const line of lines) if (line.trim() !== '') yield this.parseJson(line, statusCode)
    }
  }

  private async open (path: string, options: CallOptions, bodyTimeout: number, signal?: AbortSignal): Promise<Dispatcher.ResponseData> {
    const headers: Record<string, string> = { ...options.headers, authorization: `Bearer ${this.token}` }
    if (options.body !== undefined) headers['content-type'] = 'application/json'
    return await this.runCall(() => request(`http://${this.server}${path}`, {
      method: options.method ?? 'GET',
      headers,
      body: options.body === undefined ? null : JSON.stringify(options.body),
      headersTimeout: cliConstants.responseTimeoutMs,
      bodyTimeout,
      signal
    }))
  }

  private async runCall<Result> (call: () => Promise<Result>): Promise<Result> {
    try {
      return await call()
    } catch (error) {
      if (error instanceof LycheetrackError) throw error
      const { message, code } = error as Error & { code?: string }
      throw new ServerUnreachableError(`no response from ${this.server}: ${message !== '' ? message : code}`, { cause: error })
    }
  }

  private parseJson (text: string, status: number): unknown {
    try {
      return JSON.parse(text)
    } catch (error) {
      throw new InvalidServerResponseError(`${this.server} responded with status ${status} and no JSON; is it an entry host's --listen address?`, { cause: error })
    }
  }

  private buildResponseError (text: string, status: number): LycheetrackError {
    const { error } = (this.parseJson(text, status) ?? {}) as { error?: { code?: unknown, message?: unknown } }
    if (typeof error?.code !== 'string') return new InvalidServerResponseError(`${this.server} responded with status ${status} and no error code`)
    return new ServerResponseError(error.code, status, String(error.message ?? error.code))
  }
}
