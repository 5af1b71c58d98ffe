import type { AnswerMemory } from '../gateway/answers/answerMemory.js'
import { ByteList } from '../../shared/byteList.js'
import { UpstreamPool } from '../gateway/upstreams/upstreamPool.js'
import { decodeCallResponse } from '../platform/decodeCallResponse.js'
import { HeldBytes } from './heldBytes.js'
import { upstreamConstants } from './constants.js'
import type { ExchangeFailure } from '../gateway/upstreams/exchangeFailure.js'
import type { ExchangeHandler } from '../gateway/upstreams/exchangeHandler.js'
import type { ExchangeRequest } from '../gateway/upstreams/exchangeRequest.js'
import type { UpstreamResponse } from './upstreamResponse.js'
import type { UpstreamCall } from './upstreamCall.js'
import type { UpstreamCallHandler } from './upstreamCallHandler.js'
import { UpstreamError } from './upstreamError.js'

interface UpstreamClientOptions {
  readonly upstreamId: string
  readonly answerMemory: AnswerMemory
  /** `ip:port` */
  readonly address: string
  /** @default 512 */
  readonly maxConnections?: number
  /** Called for each response whose `X-Upstream-State` header says that the upstream is leaving. */
  readonly onLeaving?: () => void
}

const contentTypeHeaders = ['content-type', 'application/json']
const noTraffic = {
  onExchangeStarted () {},
  onExchangeEnded () {},
  onBytes () {},
  onConnected () {},
  onConnectFailed () {}
}

/** HTTP client of one upstream, with a pool of reused connections; some calls open a connection of their own. */
export class UpstreamClient {
  private pool: UpstreamPool
  private readonly openCalls = new Set<() => void>()
  private isClosed = false
  private readonly maxConnections: number

  constructor (private readonly options: UpstreamClientOptions) {
    this.maxConnections = options.maxConnections ?? upstreamConstants.maxConnections
    this.pool = this.createPool()
  }

  /**
   * Starts a call. The returned function aborts it and makes the handler receive `onError`, by default with
   * `upstream_cancelled`.
   */
  open (call: UpstreamCall, handler: UpstreamCallHandler): (reason?: UpstreamError) => void {
    const refusal = this.buildRefusal()
    if (refusal !== undefined) {
      queueMicrotask(() => handler.onError(refusal))
      return () => {}
    }
    let sent = false
    let isHeldBack = false
    let isSettled = false
    let cancel = (): void => {}
    const settleCall = (error?: UpstreamError): void => {
      if (isSettled) return
      isSettled = true
      this.openCalls.delete(abort)
      if (error === undefined) handler.onEnd()
      else handler.onError(error)
    }
    const abort = (reason?: UpstreamError): void => {
      const ran = sent ? 'unknown' : 'not_run'
      settleCall(reason ?? new UpstreamError('upstream_cancelled', 'the call was cancelled', ran, sent))
      cancel()
    }
    this.openCalls.add(abort)
    const request: ExchangeRequest = {
      method: call.method,
      path: call.path,
      body: call.body,
      headers: call.body === undefined ? [] : contentTypeHeaders,
      isSendable: () => {
        // The HTTP client may start a call again on another connection, which would send it twice.
        isHeldBack = sent || call.isSendable?.() === false
        if (!isHeldBack) sent = true
        return !isHeldBack
      }
    }
    cancel = this.sendRequest(request, call.freshConnection === true, {
      onHead: head => {
        if (isSettled) return
        if (head.isLeaving) this.options.onLeaving?.()
        handler.onStart?.(head.status, head.isLeaving, head.contentLength)
      },
      onData: chunk => { if (!isSettled) handler.onData(chunk) },
      onEnd: () => { settleCall() },
      onFailure: failure => { settleCall(this.buildError(failure, sent, isHeldBack)) }
    })
    if (isSettled) cancel()
    return abort
  }

  /** Sends a call and collects the response. Rejects with `UpstreamError`. */
  async send (call: UpstreamCall, signal?: AbortSignal): Promise<UpstreamResponse> {
    return await new Promise((resolve, reject) => {
      const body = new ByteList()
      let status = 0
      let leaving = false
      let statedBytes = Infinity
      const held = this.createHeldBytes(reason => {
        // Answers that state an end may use up the memory together; others may have none.
        const isSound = statedBytes <= upstreamConstants.maxResponseBytes
        abort(isSound ? new UpstreamError(reason.code, reason.message, reason.ran, reason.sent) : reason)
      })
      const abort = this.open(call, {
        onStart: (code, isLeaving, contentLength = Infinity) => {
          status = code
          leaving = isLeaving
          statedBytes = contentLength
        },
        onData: chunk => {
          const { maxResponseBytes } = upstreamConstants
          if (body.byteLength + chunk.length > maxResponseBytes) {
            return abort(buildOversizedError(`an answer of more than ${maxResponseBytes} bytes`))
          }
          body.add(chunk)
          held.update(body.byteLength)
        },
        onEnd: () => {
          signal?.removeEventListener('abort', onAbort)
          held.release()
          resolve({ status, body: body.buildBuffer().toString('utf8'), leaving })
        },
        onError: error => {
          signal?.removeEventListener('abort', onAbort)
          held.release()
          body.release()
          reject(error)
        }
      })
      const onAbort = (): void => { abort() }
      if (signal?.aborted) abort()
      else signal?.addEventListener('abort', onAbort)
    })
  }

  /** What a call holds of its answer; when it must give way, `abort` is called with the reason. */
  createHeldBytes (abort: (reason: UpstreamError) => void): HeldBytes {
    const { answerMemory, upstreamId } = this.options
    return new HeldBytes(answerMemory, upstreamId, () => {
      abort(buildOversizedError('the memory for answers is used up'))
    })
  }

  /**
   * Replaces the pool of reused connections after one of them went silent, since the others may have gone silent too.
   * Open calls on the old pool end normally.
   */
  closePooledConnections (): void {
    const old = this.pool
    this.pool = this.createPool()
    old.close()
  }

  /** Ends the open calls as well. */
  close (): void {
    this.isClosed = true
    this.pool.close()
    for (const abort of [...this.openCalls]) abort()
  }

  /** A connection that the upstream has closed unnoticed takes no call; another one may. */
  private sendRequest (request: ExchangeRequest, isFresh: boolean, handler: ExchangeHandler): () => void {
    if (isFresh) return this.pool.sendDirectly(request, handler, true)
    let cancel = (): void => {}
    cancel = this.pool.sendDirectly(request, {
      ...handler,
      onFailure: failure => {
        if (failure.wasOpen === true && !this.isClosed) cancel = this.pool.sendDirectly(request, handler, true)
        else handler.onFailure(failure)
      }
    })
    return () => { cancel() }
  }

  private createPool (): UpstreamPool {
    return new UpstreamPool({
      address: this.options.address,
      connectTimeoutMs: upstreamConstants.connectTimeoutMs,
      idleTimeoutMs: upstreamConstants.idleTimeoutMs,
      decodeResponse: decodeCallResponse,
      getConnectionLimit: () => this.maxConnections,
      onOpened: () => {},
      onHead: () => {},
      traffic: noTraffic,
      upstreamId: this.options.upstreamId,
      findRelay: () => undefined
    })
  }

  private buildRefusal (): UpstreamError | undefined {
    const { address } = this.options
    if (this.isClosed) return new UpstreamError('upstream_refused', `calls to ${address} have ended`, 'not_run', false)
    if (this.openCalls.size < this.maxConnections) return undefined
    const message = `more than ${this.maxConnections} calls to ${address} are open`
    return new UpstreamError('upstream_busy', message, 'not_run', false)
  }

  private buildError (failure: ExchangeFailure, sent: boolean, isHeldBack: boolean): UpstreamError {
    const { kind, detail, isProtocolError } = failure
    const { address } = this.options
    const ran = sent ? 'unknown' : 'not_run'
    if (isHeldBack) return new UpstreamError('upstream_not_sent', 'the call may not be sent any more', ran, sent)
    if (sent) {
      const message = `call to ${address} failed: ${detail}`
      return new UpstreamError('upstream_failed', message, ran, true, { isProtocolError })
    }
    const code = kind === 'no-connection' ? 'upstream_busy' : 'upstream_refused'
    return new UpstreamError(code, `no connection to ${address}: ${detail}`, ran, false)
  }
}

function buildOversizedError (message: string): UpstreamError {
  return new UpstreamError('upstream_failed', message, 'unknown', true, { isProtocolError: true })
}
