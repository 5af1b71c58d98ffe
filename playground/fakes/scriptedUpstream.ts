import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

interface ScriptedCall {
  readonly method: string
  readonly path: string
  readonly body: Readonly<Record<string, unknown>>
}

/**
 * HTTP upstream for tests that implements the protocols of model engines, stage pools and plain services.
 * `onCall` may return true to handle a call itself.
 */
export class ScriptedUpstream {
  readonly calls: ScriptedCall[] = []
  readonly openResponses = new Set<ServerResponse>()
  onCall: (call: ScriptedCall, response: ServerResponse) => boolean | Promise<boolean> = () => false
  /** Time between two tokens of a stream. */
  tokenDelayMs = 0
  /** Upstream state reported in responses and load reports. */
  state = 'live'
  address = ''
  private readonly streams = new Map<string, { readonly prompt: string, readonly startMs: number }>()
  private server: Server | undefined

  async start (): Promise<this> {
    this.server = createServer((request, response) => { this.handle(request, response).catch(() => response.destroy()) })
    await new Promise<void>(resolve => this.server!.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    return this
  }

  stop (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  countCalls (path: string): number {
    return this.calls.filter(call => call.path.startsWith(path)).length
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const text = Buffer.concat(chunks).toString()
    const call = { method: request.method ?? '', path: request.url ?? '', body: text === '' ? {} : JSON.parse(text) as Record<string, unknown> }
    this.calls.push(call)
    this.openResponses.add(response)
    response.on('close', () => this.openResponses.delete(response))
    response.setHeader('x-upstream-state', this.state)
    if (await this.onCall(call, response)) return
    if (call.path === '/load') this.sendJson(response, { running: 0, waiting: 0, slots: 8, kvUsed: 0, state: this.state, atMs: Date.now() })
    else if (call.path.startsWith('/cache/events')) this.sendJson(response, { events: [], latest: 0 })
    else if (call.path === '/v1/completions') {
      const id = String(call.body.stream_id)
      if (!this.streams.has(id)) this.streams.set(id, { prompt: String(call.body.prompt), startMs: performance.now() })
      await this.sendTokens(id, 0, response)
    } else if (call.path.startsWith('/v1/streams/')) {
      const url = new URL(call.path, 'http://upstream')
      const id = decodeURIComponent(url.pathname.slice('/v1/streams/'.length))
      if (call.method === 'DELETE') this.sendJson(response, {})
      else if (this.streams.has(id)) await this.sendTokens(id, Number(url.searchParams.get('offset')), response)
      else response.writeHead(404).end()
    } else this.sendJson(response, { call_id: call.body.call_id, output: { path: call.path, input: call.body.input } })
  }

  private sendJson (response: ServerResponse, value: unknown): void {
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify(value))
  }

  private async sendTokens (id: string, offset: number, response: ServerResponse): Promise<void> {
    const { prompt, startMs } = this.streams.get(id)!
    const marker = /marker:([\w-]+)/.exec(prompt)?.[1] ?? 'none'
    const count = Number(/length:(\d+)/.exec(prompt)?.[1] ?? 32)
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    for (let i = offset; i < count; i++) {
      const dueMs = startMs + i * this.tokenDelayMs
      if (dueMs > performance.now()) await new Promise(resolve => setTimeout(resolve, dueMs - performance.now()))
      if (response.destroyed) return
      response.write(`data: ${JSON.stringify({ o: i, t: `${marker}.${i} ` })}\n\n`)
    }
    response.end(`data: {"done":true,"count":${count}}\n\n`)
  }
}
