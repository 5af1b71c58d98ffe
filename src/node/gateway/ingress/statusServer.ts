import { createServer } from 'node:http'
import { ingressConstants } from './constants.js'
import { openListener } from '../../listeners/openListener.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'

interface StatusResponse {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

interface StatusServerOptions {
  /** Connections beyond this number are closed at once. */
  readonly maxConnections: number
  readonly handle: (method: string, target: string) => StatusResponse
}

/** A small HTTP server for readiness, address queries or metrics. */
export class StatusServer {
  private readonly server: Server

  constructor (private readonly options: StatusServerOptions) {
    const { maxStatusHeaderBytes, statusRequestTimeoutMs, connectionCheckMs } = ingressConstants
    this.server = createServer({
      maxHeaderSize: maxStatusHeaderBytes,
      headersTimeout: statusRequestTimeoutMs,
      requestTimeout: statusRequestTimeoutMs,
      connectionsCheckingInterval: connectionCheckMs
    }, (request, response) => { this.onRequest(request, response) })
    this.server.maxConnections = options.maxConnections
  }

  async start (address: string): Promise<void> {
    const [host, port] = address.split(':')
    await openListener(this.server, { port: Number(port), host })
  }

  stop (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private onRequest (request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    const { status, contentType, body } = this.options.handle(request.method ?? 'GET', request.url ?? '/')
    response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }
}
