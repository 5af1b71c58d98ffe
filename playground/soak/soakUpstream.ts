import { FaultProxy } from './faultProxy.js'
import { hashLargeBody } from './hashLargeBody.js'
import { sendEndlessAnswer } from '../platform/sendEndlessAnswer.js'
import { soakConstants } from './constants.js'
import { UpstreamStandIn } from '../platform/upstreamStandIn.js'
import type { EndlessAnswer } from '../platform/endlessAnswer.js'
import type { Socket } from 'node:net'
import type { SoakPiece } from './soakPiece.js'
import type { SoakExecution } from './soakExecution.js'
import type { StandInRequest } from '../platform/standInRequest.js'
import type { UpstreamFault } from './upstreamFault.js'

interface SoakUpstreamOptions {
  readonly id: string
  readonly service: string
  readonly type: 'plain' | 'engine' | 'stage'
  /** Software version. */
  readonly version: string
  /** Failure domain. */
  readonly domain: string
  readonly onExecution: (execution: SoakExecution) => void
  /** Called when the answer of an execution has been sent. */
  readonly onExecutionEnd: (signature: string) => void
  readonly onPiece: (piece: SoakPiece) => void
}

/** An upstream of a soak test behind a fault-injecting proxy. It records each execution before it answers. */
export class SoakUpstream {
  fault: UpstreamFault = 'none'
  /** What the upstream sends for every request; undefined while it executes them. */
  endlessAnswer: EndlessAnswer | undefined
  readonly proxy = new FaultProxy('')
  private readonly standIn: UpstreamStandIn
  private executionCount = 0

  constructor (readonly options: SoakUpstreamOptions) {
    this.standIn = new UpstreamStandIn(options.id, (request, socket) => { this.onRequest(request, socket) })
  }

  async start (): Promise<this> {
    await this.standIn.start()
    this.proxy.target = this.standIn.address
    await this.proxy.start()
    return this
  }

  /** Ends as a process that crashes, by resets: an orderly end would complete a stream without a stated end. */
  stop (): void {
    this.proxy.applyFault('reset')
    this.standIn.stop()
    this.proxy.stop()
  }

  /** The upstream's entry in the store. */
  buildEntry (state: 'ready' | 'draining', sequence: number): Readonly<Record<string, unknown>> {
    const { service, version, domain } = this.options
    return { service, address: this.proxy.address, zone: domain, version, slots: 8, state, coldRemainingMs: 0, sequence, born: 1 }
  }

  private onRequest (request: StandInRequest, socket: Socket): void {
    const { id, type } = this.options
    if (this.endlessAnswer !== undefined) return sendEndlessAnswer(socket, request, this.endlessAnswer)
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== id) return this.sendAnswer(request, socket, 421, 'another instance', { 'X-Not-Executed': '1' })
    if (request.path === '/health') return this.sendAnswer(request, socket, 200, 'ok', { 'X-Instance-Id': id })
    if (request.path === '/-/stage-free') return this.sendAnswer(request, socket, 200, '{}')
    if (type === 'stage') return this.runPieces(request, socket)
    const execution = this.createExecution(request)
    const parameters = new URLSearchParams(request.path.split('?')[1])
    const answer = execution.answer.padEnd(Number(parameters.get('bytes') ?? 0), '.')
    this.options.onExecution({ ...execution, answer: hashLargeBody(answer) })
    const delayMs = soakConstants.answerDelayMs + Number(parameters.get('work') ?? 0)
    setTimeout(() => { this.sendExecutionAnswer(request, socket, { ...execution, answer }) }, delayMs)
  }

  private createExecution (request: StandInRequest): SoakExecution {
    const { id, service } = this.options
    const requestId = request.headers['x-request-id'] ?? ''
    return {
      requestId,
      upstreamId: id,
      service,
      method: request.method,
      path: request.path,
      body: hashLargeBody(request.body),
      account: request.headers['x-tenant'],
      hasKey: request.headers['authorization'] !== undefined,
      inputs: (request.headers['x-inputs'] ?? '').split(',').filter(input => input !== ''),
      timeLeftMs: Number(request.headers['x-time-remaining']),
      atMs: performance.now(),
      status: this.fault === 'errors' ? 500 : 200,
      signature: `${id}.${++this.executionCount}.${requestId}`,
      answer: `answer ${this.executionCount} of ${id} to ${requestId}`
    }
  }

  private sendExecutionAnswer (request: StandInRequest, socket: Socket, execution: SoakExecution): void {
    if (this.fault === 'hang') return
    if (this.fault === 'answer-lost') {
      socket.destroy()
      return
    }
    if (execution.status === 200 && this.options.type === 'engine') return this.sendEvents(request, socket, execution)
    if (this.fault === 'torn') {
      socket.write(this.buildHead(request, execution.status, execution.answer.length, execution.signature) + execution.answer.slice(0, 5))
      socket.destroy()
      return
    }
    this.sendAnswer(request, socket, execution.status, execution.answer, { 'X-Response-Signature': execution.signature })
    this.options.onExecutionEnd(execution.signature)
    if (this.fault === 'extra') socket.write(this.buildHead({ ...request, headers: { 'x-request-id': 'nobody' } }, 200, 5, 'forged') + 'extra')
  }

  private sendEvents (request: StandInRequest, socket: Socket, execution: SoakExecution): void {
    // Every other stream has neither a length nor chunks and ends with its connection.
    const isFramed = this.executionCount % 2 === 0
    const framing = isFramed ? 'Transfer-Encoding: chunked\r\n' : ''
    const encode = (event: string): string => isFramed ? `${event.length.toString(16)}\r\n${event}\r\n` : event
    socket.write(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: ${execution.requestId}\r\nX-Response-Signature: ${execution.signature}\r\n${framing}\r\n`)
    const parameters = new URLSearchParams(request.path.split('?')[1])
    const intervalMs = Number(parameters.get('pause') ?? soakConstants.eventIntervalMs)
    let eventId = Number(request.headers['last-event-id'] ?? 0)
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer)
      // A stream may be resumed after its last event, when only its end was lost.
      if (eventId < soakConstants.eventCount) {
        eventId++
        const event = `id: ${eventId}\ndata: ${execution.requestId}:${eventId}:${this.options.version}\n\n`
        if (this.fault === 'torn' && eventId > 3) {
          socket.write(encode(event).slice(0, 7))
          socket.destroy()
          return
        }
        socket.write(encode(event))
      }
      if (eventId < soakConstants.eventCount) return
      clearInterval(timer)
      this.options.onExecutionEnd(execution.signature)
      if (isFramed) socket.write('0\r\n\r\n')
      else socket.end()
    }, intervalMs)
  }

  private runPieces (request: StandInRequest, socket: Socket): void {
    const { id, onPiece } = this.options
    const { items } = JSON.parse(request.body) as { items: ReadonlyArray<{ id: string, stage: number, piece: number, key?: string, inputs?: readonly string[] }> }
    for (const item of items) onPiece({ requestId: item.id, stage: item.stage, piece: item.piece, key: item.key, inputs: item.inputs })
    setTimeout(() => {
      if (this.fault === 'hang') return
      if (this.fault === 'answer-lost' || this.fault === 'torn') {
        socket.destroy()
        return
      }
      const results = items.map(item => this.fault === 'errors' ? { reason: 'error' } : { handle: `${id}|${item.id}|${item.stage}|${item.piece}|${++this.executionCount}` })
      this.sendAnswer(request, socket, 200, JSON.stringify({ items: results }))
    }, soakConstants.answerDelayMs)
  }

  private sendAnswer (request: StandInRequest, socket: Socket, status: number, body: string, headers: Readonly<Record<string, string>> = {}): void {
    if (!socket.destroyed) socket.write(this.buildHead(request, status, Buffer.byteLength(body), undefined, headers) + body)
  }

  private buildHead (request: StandInRequest, status: number, length: number, signature?: string, headers: Readonly<Record<string, string>> = {}): string {
    const fields: Record<string, string | undefined> = { 'X-Request-Id': request.headers['x-request-id'], 'X-Response-Signature': signature, 'Content-Length': String(length), ...headers }
    const lines = Object.entries(fields).filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}\r\n`)
    return `HTTP/1.1 ${status} X\r\n${lines.join('')}\r\n`
  }
}
