import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'

type RequestHandler = (request: IncomingMessage, body: string, response: ServerResponse) => unknown

/**
 * Starts an HTTP server with one handler per method and path, e.g. `GET /v1/route`. A returned value is sent as
 * JSON; `{ status, ... }` sets the status; undefined leaves the response to the handler.
 */
export async function createTestServer (handlers: Readonly<Record<string, RequestHandler>>) {
  const calls: string[] = []
  const server = createServer((request, response) => {
    let body = ''
    request.on('data', chunk => { body += chunk })
    request.on('end', () => {
      const call = `${request.method} ${request.url}`
      calls.push(request.headers['if-match'] === undefined ? call : `${call} if-match ${request.headers['if-match']}`)
      const result = handlers[call]?.(request, body, response) ?? (call in handlers ? undefined : { status: 404, error: { code: 'not_found', message: 'not found' } })
      if (result === undefined) return
      const { status = 200, ...rest } = Array.isArray(result) ? {} : result as { status?: number }
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(JSON.stringify(Array.isArray(result) ? result : rest))
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const close = async () => {
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, calls, close }
}
