import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as waitMs } from 'node:timers/promises'
import { LycheetrackError } from '../../../src/shared/lycheetrackError.js'
import { ResponseReorderer } from './responseReorderer.js'
import { ConnectionTable } from './connectionTable.js'
import type { ExecutionLog } from './executionLog.js'
import { faultSettings } from './faultSettings.js'
import type { FaultState } from './faultState.js'
import { StandInCall } from './standInCall.js'
import type { StandInHandler } from './standInHandler.js'

/** HTTP server of one stand-in: serves the control endpoints, applies connection faults and passes other calls to the handler. */
export class StandInServer {
  private readonly server: Server
  private readonly connections = new ConnectionTable()
  private readonly reorderer = new ResponseReorderer()

  constructor (
    readonly id: string,
    private readonly linkDelayMs: number,
    private readonly handler: StandInHandler,
    private readonly faults: FaultState,
    private readonly log: ExecutionLog
  ) {
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => { this.handleRequest(request, response).catch(error => this.handleError(error, response)) })
    this.server.on('connection', socket => this.connections.addConnection(socket))
  }

  /** Listens on a loopback address and returns the port; port 0 picks a free one. */
  async start (port: number, address = '127.0.0.1'): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, address, resolve)
    })
    return (this.server.address() as AddressInfo).port
  }

  async stop (): Promise<void> {
    this.handler.stop?.()
    const closed = new Promise<void>(resolve => this.server.close(() => resolve()))
    this.connections.closeAll()
    await closed
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    const call = new StandInCall(request, response, body, async () => { if (this.faults.settings.reorder) await this.reorderer.waitTurn() })
    if (call.path.startsWith('/control/')) return this.handleControl(call, request)
    if (this.connections.isFrozen(request.socket)) return
    const { outage, cutFrom, delayMs } = this.faults.settings
    if (outage) return call.closeConnection()
    if (call.hostId !== undefined && cutFrom?.includes(call.hostId)) return
    const delay = this.linkDelayMs + (delayMs ?? 0)
    if (delay > 0) await waitMs(delay)
    if (this.faults.settings.outage) return call.closeConnection()
    for (const [name, value] of Object.entries(this.handler.buildHeaders?.() ?? {})) response.setHeader(name, value)
    await this.handler.handleCall(call)
  }

  private handleControl (call: StandInCall, request: IncomingMessage): void {
    if (call.path === '/control/faults' && call.method === 'POST') {
      this.faults.setFaults(call.parseBody(faultSettings))
      this.applyConnectionFaults(request)
      this.handler.onFaultsChanged?.()
      call.sendNow(200, this.faults.settings)
    } else if (call.path === '/control/faults') {
      call.sendNow(200, this.faults.settings)
    } else if (call.path === '/control/log') {
      call.response.setHeader('Content-Type', 'application/x-ndjson')
      call.response.end(this.log.renderLines())
    } else if (!this.handler.handleControl?.(call)) {
      call.sendNow(404, { error: `no control end point ${call.path}` })
    }
  }

  private applyConnectionFaults (request: IncomingMessage): void {
    const { outage, silent, stallConnections } = this.faults.settings
    if (outage) this.connections.closeAll(request.socket)
    if (silent) this.connections.freezeAll(request.socket)
    this.connections.freezeSome(stallConnections ?? 0, request.socket)
  }

  private handleError (error: unknown, response: ServerResponse): void {
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    const status = error instanceof LycheetrackError ? error.httpStatus : 500
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify({ error: String(error) }))
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}
