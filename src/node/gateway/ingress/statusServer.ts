import { createServer } from 'node:http'
import { ingressConstants } from './constants.js'
import { openListener } from '../../listeners/openListener.js'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { StatusServerOptions } from './statusServerOptions.js'

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
    this.server.on('drop', () => {
      options.onRefused()
      // Clients that keep connections they do not use must not keep others out.
      this.server.closeIdleConnections()
    })
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
