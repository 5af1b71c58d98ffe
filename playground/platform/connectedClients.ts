import { randomUUID } from 'node:crypto'
import { Agent, request as sendRequest } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'

interface ClientsOptions {
  readonly address: string
  readonly path: string
  readonly method?: string
  readonly count: number
}

interface ClientRecord {
  readonly id: string
  /** Undefined when the connection ended without a whole answer. */
  readonly status?: number
}

/** Pause after a connection that was refused or closed. */
const reconnectMs = 20

/** Clients that send one request after the other on kept connections until they are stopped. */
export class ConnectedClients {
  readonly records: ClientRecord[] = []
  private isStopped = false
  private readonly running: Promise<unknown>

  constructor (private readonly options: ClientsOptions) {
    this.running = Promise.all(Array.from({ length: options.count }, async () => { await this.runClient() }))
  }

  /** Resolves when the last requests have ended. */
  async stop (): Promise<void> {
    this.isStopped = true
    await this.running
  }

  /** Requests that an upstream got, by their ids, and whose client has no whole answer. */
  listCut (forwardedIds: ReadonlySet<string>): readonly string[] {
    return this.records.filter(({ id, status }) => status === undefined && forwardedIds.has(id)).map(({ id }) => id)
  }

  countStatus (status: number): number {
    return this.records.filter(record => record.status === status).length
  }

  private async runClient (): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this.isStopped) {
      const id = randomUUID()
      const status = await this.send(agent, id)
      this.records.push({ id, status })
      if (status === undefined) await delay(reconnectMs)
    }
    agent.destroy()
  }

  private async send (agent: Agent, id: string): Promise<number | undefined> {
    const [host, port] = this.options.address.split(':')
    return await new Promise(resolve => {
      const { method = 'GET', path } = this.options
      const headers = { host: 'shop.example', 'x-request-id': id, 'x-time-remaining': '9000' }
      const request = sendRequest({ host, port, method, path, agent, headers }, response => {
        response.resume()
        response.on('error', () => {})
        response.on('close', () => { resolve(response.complete ? response.statusCode : undefined) })
      })
      request.on('error', () => { resolve(undefined) })
      request.end()
    })
  }
}
