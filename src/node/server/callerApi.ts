import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as waitTime } from 'node:timers/promises'
import { v7 as buildUuid } from 'uuid'
import type { Contract } from '../../types/contract.js'
import type { RequestEntry } from '../requests/requestEntry.js'
import { RequestError } from '../requests/requestError.js'
import type { SharedMemory } from '../gateway/memory/sharedMemory.js'
import { buildErrorBody } from './buildErrorBody.js'
import { buildResultBody } from './buildResultBody.js'
import { createBodyMemory } from './createBodyMemory.js'
import type { CallerServerOptions } from './callerServerOptions.js'
import { serverConstants } from './constants.js'
import { findContractByToken } from './findContractByToken.js'
import { FlushScheduler } from './flushScheduler.js'
import { handleAdmin } from './handleAdmin.js'
import { parseLastEventId } from './parseLastEventId.js'
import { parseRequestId } from './parseRequestId.js'
import { parseSubmissionBody } from './parseSubmissionBody.js'
import { readBody } from './readBody.js'
import { SseWriter } from './sseWriter.js'
import { writeError } from './writeError.js'
import { writeJson } from './writeJson.js'

/** The caller API of one host over HTTP/1.1. */
export class CallerApi {
  private readonly scheduler = new FlushScheduler()
  private readonly bodyTimeoutMs: number
  private readonly maxBodyBytes: number
  private readonly bodyMemory: SharedMemory

  constructor (private readonly options: CallerServerOptions) {
    this.bodyTimeoutMs = options.bodyTimeoutMs ?? serverConstants.bodyTimeoutMs
    this.maxBodyBytes = options.maxBodyBytes ?? serverConstants.maxBodyBytes
    this.bodyMemory = createBodyMemory(this.maxBodyBytes)
  }

  /** Handles one HTTP request; never rejects. */
  async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.routeRequest(request, new URL(request.url ?? '/', 'http://host'), response)
    } catch (error) {
      if (!(error instanceof RequestError)) this.options.logger.recordWarning('HTTP request failed', { path: request.url, reason: String(error) })
      if (response.headersSent) response.destroy()
      else writeError(response, error, this.findRequestId(request))
    }
  }

  private async routeRequest (request: IncomingMessage, url: URL, response: ServerResponse): Promise<void> {
    const { pathname } = url
    if (pathname.startsWith('/admin/v1/')) {
      const { admin, operatorToken } = this.options
      const { maxBodyBytes, bodyTimeoutMs, bodyMemory } = this
      await handleAdmin({ admin, operatorToken, maxBodyBytes, bodyTimeoutMs, bodyMemory }, request, url, response)
    } else if (pathname === '/healthz') writeJson(response, 200, { status: 'ok' })
    else if (pathname === '/readyz') this.writeReadiness(response)
    else if (pathname === '/metrics') this.writeMetrics(response)
    else if (pathname.startsWith('/v1/')) await this.handleCaller(this.findContract(request), request, pathname, response)
    else throw this.buildNotFound()
  }

  /**
   * Finds the caller's contract. A host that is still starting knows no tokens, so it refuses every request; one
   * whose id came from the caller may already run on another host and is refused as `unknown`.
   */
  private findContract (request: IncomingMessage): Contract {
    if (this.options.listUnreadyReasons().length > 0) {
      const ran = this.findRequestId(request) === undefined ? 'not_run' : 'unknown'
      throw new RequestError('host_not_ready', 'this host has not loaded its contracts yet', 503, ran)
    }
    return findContractByToken(this.options.contracts, request.headers.authorization)
  }

  private async handleCaller (contract: Contract, request: IncomingMessage, pathname: string, response: ServerResponse): Promise<void> {
    if (pathname === '/v1/route' && request.method === 'GET') {
      this.writeRoute(contract, response)
      return
    }
    if (pathname === '/v1/requests' && request.method === 'POST') {
      await this.handleSubmission(contract, request, response)
      return
    }
    const id = /^\/v1\/requests\/([^/]+)$/.exec(pathname)?.[1]
    if (id !== undefined && request.method === 'GET') await this.handleLookup(contract, id, request, response)
    else if (id !== undefined && request.method === 'DELETE') await this.handleCancellation(contract, id, response)
    else throw this.buildNotFound()
  }

  private async handleSubmission (contract: Contract, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { maxBodyBytes: maxBytes, bodyTimeoutMs: timeoutMs, bodyMemory: memory } = this
    const group = `account ${contract.account}`
    const body = parseSubmissionBody(await readBody(request, { maxBytes, timeoutMs, memory, group }))
    const spec = Object.hasOwn(contract.kinds, body.kind) ? contract.kinds[body.kind] : undefined
    if (spec === undefined) throw new RequestError('unknown_kind', `the contract has no kind ${body.kind}`, 404, 'not_run')
    const callerRequestId = parseRequestId(this.findRequestId(request), !spec.idempotent)
    const cursor = parseLastEventId(this.findHeader(request, 'last-event-id'))
    const entry = await this.options.requests.receive({
      account: contract.account,
      requestId: callerRequestId ?? buildUuid(),
      isIdFromCaller: callerRequestId !== undefined,
      kind: body.kind,
      spec,
      input: body.input,
      deadlineMs: Math.min(spec.deadlineMs, body.deadlineMs ?? spec.deadlineMs),
      knownGeneration: cursor?.generation ?? 0
    })
    if (body.stream) this.sendStream(entry, request, response)
    else await this.writeResponse(entry, response)
  }

  private async handleLookup (contract: Contract, id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const entry = await this.options.requests.findRequest(contract.account, this.parseId(id))
    if (entry === undefined) throw this.buildUnknownRequest()
    if (request.headers.accept?.includes('text/event-stream')) {
      this.sendStream(entry, request, response)
      return
    }
    const { requestId } = entry.identity
    const removeWaiter = entry.addWaiter()
    // The answer of a request at another host arrives with a delay; without this wait, a finished request would be reported as running.
    if (entry.role === 'joined') await Promise.race([entry.log.waitForEnd(), waitTime(serverConstants.lookupWaitMs)])
    removeWaiter()
    const { end } = entry.log
    if (end === undefined) writeJson(response, 200, { requestId, status: 'running', state: entry.state, tokenCount: entry.log.tokens.length })
    else if (end.kind === 'done') writeJson(response, 200, buildResultBody(requestId, entry.log, end))
    else writeJson(response, 200, { requestId, status: entry.state, ...buildErrorBody(end, requestId) })
  }

  private async handleCancellation (contract: Contract, id: string, response: ServerResponse): Promise<void> {
    const requestId = this.parseId(id)
    const isKnown = await this.options.requests.cancel(contract.account, requestId)
    if (!isKnown) throw this.buildUnknownRequest()
    writeJson(response, 200, { requestId, status: 'cancelled' })
  }

  private sendStream (entry: RequestEntry, request: IncomingMessage, response: ServerResponse): void {
    request.socket.setNoDelay(true)
    const writer = new SseWriter(response, entry, this.scheduler, parseLastEventId(this.findHeader(request, 'last-event-id')))
    writer.start()
  }

  private async writeResponse (entry: RequestEntry, response: ServerResponse): Promise<void> {
    const removeWaiter = entry.addWaiter()
    response.on('close', removeWaiter)
    if (response.destroyed) removeWaiter()
    const end = await entry.log.waitForEnd()
    const { requestId } = entry.identity
    if (end.kind === 'done') writeJson(response, 200, buildResultBody(requestId, entry.log, end), { 'request-id': requestId })
    else writeError(response, new RequestError(end.code, end.message, end.httpStatus, end.ran, { retryAfterMs: end.retryAfterMs, addresses: end.addresses }), requestId)
    removeWaiter()
  }

  private writeRoute (contract: Contract, response: ServerResponse): void {
    const { membership, chooseRouteHosts, routeLifetimeMs } = this.options
    const hosts = chooseRouteHosts(membership.listHosts().filter(host => host.state !== 'leaving' && host.state !== 'dead'), contract)
    const addresses = hosts.map(({ address, failureDomain }) => ({ address, failureDomain }))
    writeJson(response, 200, { addresses, lifetimeMs: routeLifetimeMs ?? serverConstants.routeLifetimeMs })
  }

  private writeReadiness (response: ServerResponse): void {
    const reasons = this.options.listUnreadyReasons()
    writeJson(response, reasons.length === 0 ? 200 : 503, { status: reasons.length === 0 ? 'ready' : 'not_ready', reasons })
  }

  private writeMetrics (response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
    response.end(this.options.metrics.render())
  }

  private parseId (id: string): string {
    try {
      return parseRequestId(decodeURIComponent(id), false) ?? ''
    } catch {
      throw this.buildUnknownRequest()
    }
  }

  private findRequestId (request: IncomingMessage): string | undefined {
    return this.findHeader(request, 'request-id')
  }

  private findHeader (request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }

  private buildNotFound (): RequestError {
    return new RequestError('not_found', 'no such resource', 404, 'not_run')
  }

  private buildUnknownRequest (): RequestError {
    return new RequestError('request_not_found', 'the account has no such request', 404, 'unknown')
  }
}
