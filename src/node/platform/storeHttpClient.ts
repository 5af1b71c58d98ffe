import { AnswerAllowance } from '../connections/answerAllowance.js'
import { Pool } from 'undici'
import { StoreUnavailableError } from '../../shared/storeUnavailableError.js'
import { StoreUncertainError } from '../../shared/storeUncertainError.js'
import { describeAnswerError } from '../../shared/describeAnswerError.js'
import { headerNames } from './headerNames.js'
import { platformConstants } from './constants.js'
import { sendServiceCall } from '../connections/sendServiceCall.js'
import { ServiceClient } from '../connections/serviceClient.js'
import type { Metrics } from '../../types/metrics.js'
import type { StoreEra } from '../gateway/store/storeEra.js'
import type { StoreResponse } from './storeResponse.js'

interface StoreCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: unknown
  readonly timeoutMs: number
  readonly signal?: AbortSignal
}

/**
 * HTTP connections to the store. Each watch has its own connection, so that it delays no other call while it waits. A
 * call that is cancelled closes its connection, because nothing more arrives on one whose response was lost.
 */
export class StoreHttpClient {
  private readonly calls: Pool
  private readonly allowance = new AnswerAllowance(platformConstants.maxHeldStoreBytes)
  private readonly watches = new Map<string, Pool>()

  constructor (
    private readonly address: string,
    private readonly metrics: Metrics,
    private readonly storeEra: StoreEra
  ) {
    this.calls = this.createPool(platformConstants.storeConnections)
  }

  /** Rejects with `StoreUnavailableError`, or `StoreUncertainError` when a call other than a read got no response. */
  async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<StoreResponse> {
    try {
      return await this.sendCall(this.calls, { method, path, body, timeoutMs: platformConstants.storeCallTimeoutMs })
    } catch (error) {
      const message = `no response from the store: ${describeAnswerError(error as Error)}`
      throw method === 'GET' ? new StoreUnavailableError(message, { cause: error }) : new StoreUncertainError(message, { cause: error })
    }
  }

  /** Sends a watch on the connection that is reserved for `name`. Rejects with `StoreUnavailableError`. */
  async watch (name: string, path: string, timeoutMs: number, signal: AbortSignal): Promise<StoreResponse> {
    const pool = this.watches.get(name) ?? this.createPool(1)
    this.watches.set(name, pool)
    try {
      return await this.sendCall(pool, { method: 'GET', path, timeoutMs, signal })
    } catch (error) {
      throw new StoreUnavailableError(`the watch of the store failed: ${describeAnswerError(error as Error)}`, { cause: error })
    }
  }

  close (): void {
    closePool(this.calls)
    for (const pool of this.watches.values()) closePool(pool)
  }

  private createPool (connections: number): Pool {
    return new Pool(`http://${this.address}`, {
      connections,
      factory: () => new ServiceClient(`http://${this.address}`, {
        connectTimeoutMs: platformConstants.connectTimeoutMs,
        createError: (message, cause) => new StoreUnavailableError(message, { cause })
      })
    })
  }

  private async sendCall (pool: Pool, call: StoreCall): Promise<StoreResponse> {
    const controller = new AbortController()
    const cancel = (): void => { controller.abort(call.signal?.reason ?? new StoreUnavailableError(`no response within ${call.timeoutMs} ms`)) }
    const timer = setTimeout(cancel, call.timeoutMs)
    call.signal?.addEventListener('abort', cancel)
    try {
      return await this.readResponse(pool, call, controller.signal)
    } finally {
      clearTimeout(timer)
      call.signal?.removeEventListener('abort', cancel)
    }
  }

  private async readResponse (pool: Pool, call: StoreCall, signal: AbortSignal): Promise<StoreResponse> {
    const startMs = performance.now()
    // The last segment of the path, without the lease id that may follow it.
    const operation = call.path.split('?')[0]!.replace(/\/\d+$/, '').split('/').at(-1)!
    const { status, headers, text } = await sendServiceCall(pool, {
      method: call.method,
      path: call.path,
      headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      maxAnswerBytes: platformConstants.maxStoreResponseBytes,
      allowance: this.allowance,
      signal
    })
    this.metrics.recordDuration('store_call', { operation }, performance.now() - startMs)
    this.metrics.addCount('store_calls', { operation, status: String(status) })
    const body = parseJson(text)
    const era = this.parseEra(headers[headerNames.storeEra])
    this.storeEra.observeAnswer(era, findRevision(body))
    return { status, body, era }
  }

  private parseEra (value: string | string[] | undefined): number {
    if (typeof value === 'string' && /^\d{1,15}$/.test(value)) return Number(value)
    if (value !== undefined) this.metrics.addCount('store_era_unreadable', {})
    return this.storeEra.getCurrent()
  }
}

/** Revision of the store that the body of an answer names, if any. */
function findRevision (body: unknown): number | undefined {
  const { storeRevision, revision } = (body ?? {}) as Readonly<Record<string, unknown>>
  const named = storeRevision ?? revision
  return typeof named === 'number' ? named : undefined
}

/** Closes the pool; its requests in progress reject. */
function closePool (pool: Pool): void {
  pool.destroy().catch(() => {})
}

function parseJson (text: string): unknown {
  try {
    return text === '' ? undefined : JSON.parse(text)
  } catch {
    // The caller reports a response that cannot be decoded.
    return undefined
  }
}
