import { errors, Pool } from 'undici'
import { AnswerAllowance } from '../connections/answerAllowance.js'
import { HttpCallError } from './httpCallError.js'
import { keyValueConstants } from './constants.js'
import { sendServiceCall } from '../connections/sendServiceCall.js'
import { ServiceClient } from '../connections/serviceClient.js'

interface HttpResponse {
  readonly status: number
  readonly body: string
}

// Error codes of failures to connect, after which no byte of the request can have been sent.
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * HTTP/1.1 client of one platform service. Each call has a timeout, after which the connection pool is replaced,
 * because open connections can stay silent while new ones work. Answers without end fail their call.
 */
export class HttpClient {
  private pool: Pool
  private readonly allowance = new AnswerAllowance(keyValueConstants.maxHeldAnswerBytes)

  constructor (private readonly baseUrl: string, private readonly headers: Readonly<Record<string, string>>, private readonly timeoutMs: number) {
    this.pool = this.createPool()
  }

  /** Sends a request; rejects with `HttpCallError` if no complete response arrives in time. */
  async send (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<HttpResponse> {
    const pool = this.pool
    const controller = new AbortController()
    const timer = setTimeout(() => { controller.abort() }, this.timeoutMs)
    const { signal } = controller
    const { maxAnswerBytes } = keyValueConstants
    const headers = body === undefined ? this.headers : { ...this.headers, 'content-type': 'application/json' }
    const payload = body === undefined ? undefined : JSON.stringify(body)
    const { allowance } = this
    try {
      const call = { method, path, headers, body: payload, maxAnswerBytes, allowance, signal }
      const answer = await sendServiceCall(pool, call)
      return { status: answer.status, body: answer.text }
    } catch (error) {
      if (signal.aborted) {
        this.updatePool(pool)
        throw new HttpCallError(`${method} ${path} was not answered in ${this.timeoutMs} ms`, true, true, { cause: error })
      }
      throw new HttpCallError(`${method} ${path} failed`, !isConnectFailure(error), false, { cause: error })
    } finally {
      clearTimeout(timer)
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }

  private createPool (): Pool {
    return new Pool(this.baseUrl, {
      connections: keyValueConstants.maxConnections,
      factory: () => new ServiceClient(this.baseUrl, {
        connectTimeoutMs: this.timeoutMs,
        createError: (message, cause) => cause ?? new errors.ConnectTimeoutError(message)
      })
    })
  }

  // Calls in progress on the old pool keep their own timeouts; the pool closes once they have ended.
  private updatePool (old: Pool): void {
    if (this.pool !== old) return
    this.pool = this.createPool()
    old.close().catch(() => {})
  }
}

function isConnectFailure (error: unknown): boolean {
  const code = (error as { code?: string } | undefined)?.code
  return code !== undefined && connectFailureCodes.has(code)
}
