import { AnswerAllowance } from '../connections/answerAllowance.js'
import { cliConstants } from './constants.js'
import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { InvalidServerResponseError } from './invalidServerResponseError.js'
import { ServerResponseError } from './serverResponseError.js'
import { OversizedAnswerError } from '../gateway/upstreams/oversizedAnswerError.js'
import { sendServiceCall } from '../connections/sendServiceCall.js'
import { ServerUnreachableError } from './serverUnreachableError.js'
import { ServiceClient } from '../connections/serviceClient.js'
import type { ServiceAnswer } from '../connections/serviceAnswer.js'

interface CallOptions {
  readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: unknown
}

/** Sends HTTP calls to one entry host with a bearer token. */
export class ServerConnection {
  /** `responseTimeoutMs`: time within which a whole response, or the head of a stream, must arrive. */
  constructor (
    readonly server: string,
    private readonly token: string,
    private readonly responseTimeoutMs: number = cliConstants.responseTimeoutMs
  ) {}

  /**
   * Sends a call and reads its JSON response. Rejects with `ServerUnreachableError`, `ServerResponseError`
   * or `InvalidServerResponseError`.
   */
  async send (path: string, options: CallOptions = {}): Promise<unknown> {
    const { status, text } = await this.runCall(async () => await this.readAnswer(path, options))
    if (status < 400) return text === '' ? {} : this.parseJson(text, status)
    throw this.buildResponseError(text, status)
  }

  /**
   * Reads an NDJSON stream until it ends; blank lines are heartbeats. Rejects like `send`, also after `silenceMs`
   * without data and when a line has no end.
   */
  async * openJsonLines (path: string, silenceMs: number, signal: AbortSignal): AsyncGenerator<unknown> {
    const client = this.createClient()
    try {
      const { statusCode, body } = await this.runCall(() => client.request({
        method: 'GET',
        path,
        headers: { authorization: `Bearer ${this.token}` },
        headersTimeout: this.responseTimeoutMs,
        bodyTimeout: silenceMs,
        signal
      }))
      if (statusCode >= 400) throw this.buildResponseError(await this.runCall(() => body.text()), statusCode)
      let partialLine = ''
      const chunks = body.setEncoding('utf8')[Symbol.asyncIterator]()
      while (true) {
        const chunk = await this.runCall(() => chunks.next())
        if (chunk.done === true) return
        const lines = (partialLine + String(chunk.value)).split('\n')
        partialLine = lines.pop()!
        if (partialLine.length > cliConstants.maxLineLength) {
          const limit = `${cliConstants.maxLineLength} characters`
          throw new InvalidServerResponseError(`${this.server} sent a line of more than ${limit}`)
        }
        for (const line of lines) if (line.trim() !== '') yield this.parseJson(line, statusCode)
      }
    } finally {
      client.destroy().catch(() => {})
    }
  }

  private async readAnswer (path: string, { method = 'GET', headers = {}, body }: CallOptions): Promise<ServiceAnswer> {
    const client = this.createClient()
    const controller = new AbortController()
    const timer = setTimeout(() => {
      controller.abort(new Error(`no whole response within ${this.responseTimeoutMs} ms`))
    }, this.responseTimeoutMs)
    const { maxAnswerBytes } = cliConstants
    try {
      return await sendServiceCall(client, {
        method,
        path,
        headers: {
          ...headers,
          authorization: `Bearer ${this.token}`,
          ...body === undefined ? {} : { 'content-type': 'application/json' }
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        maxAnswerBytes,
        allowance: new AnswerAllowance(maxAnswerBytes),
        signal: controller.signal
      })
    } finally {
      clearTimeout(timer)
      client.destroy().catch(() => {})
    }
  }

  private createClient (): ServiceClient {
    return new ServiceClient(`http://${this.server}`, {
      connectTimeoutMs: this.responseTimeoutMs,
      createError: (message, cause) => cause ?? new Error(message)
    })
  }

  private async runCall<Result> (call: () => Promise<Result>): Promise<Result> {
    try {
      return await call()
    } catch (error) {
      if (error instanceof LycheetrackError && !(error instanceof OversizedAnswerError)) throw error
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
