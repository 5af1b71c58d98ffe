import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, request } from 'undici'

const maxAttempts = 20

/**
 * Proxy in front of the key-value service that disables compare-and-swap: it replaces the expected version of a write by
 * the stored one, so that every write succeeds.
 */
export class UncheckedKeyValueProxy {
  private readonly agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 })
  private readonly server = createServer((incoming, response) => { this.handleCall(incoming, response).catch(() => response.destroy()) })

  constructor (private readonly target: string) {}

  async start (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  stop (): void {
    this.server.close()
    this.server.closeAllConnections()
    this.agent.destroy().catch(() => {})
  }

  private async handleCall (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    const body = Buffer.concat(chunks).toString('utf8')
    const path = incoming.url ?? '/'
    if (incoming.method === 'PUT' && path.startsWith('/kv/')) return this.writeUnchecked(path, body, response)
    const clientGone = new AbortController()
    response.on('close', () => clientGone.abort())
    const answer = await this.sendCall(incoming.method ?? 'GET', path, body, incoming, clientGone.signal)
    response.writeHead(answer.statusCode, { 'content-type': String(answer.headers['content-type']) })
    response.flushHeaders()
    for await (const chunk of answer.body) response.write(chunk)
    response.end()
  }

  private async writeUnchecked (path: string, body: string, response: ServerResponse): Promise<void> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const stored = await this.sendCall('GET', path, '')
      const { version = 0 } = await stored.body.json() as { version?: number }
      const expectedVersion = stored.statusCode === 200 ? version : 0
      const answer = await this.sendCall('PUT', path, JSON.stringify({ ...JSON.parse(body), expectedVersion }))
      const text = await answer.body.text()
      if (answer.statusCode === 409 && attempt < maxAttempts - 1) continue
      response.writeHead(answer.statusCode, { 'content-type': 'application/json' }).end(text)
      return
    }
  }

  private sendCall (method: string, path: string, body: string, incoming?: IncomingMessage, signal?: AbortSignal) {
    const hostId = incoming?.headers['x-host-id']
    return request(`http://${this.target}${path}`, {
      method: method as 'GET',
      dispatcher: this.agent,
      signal,
      body: body === '' ? undefined : body,
      headers: { 'content-type': 'application/json', ...(hostId === undefined ? {} : { 'x-host-id': String(hostId) }) }
    })
  }
}
