import { createServer } from 'node:http'
import { readFileSync } from 'node:fs'
import { buildProduct } from './buildProduct.js'
import { GatewayTestHarness } from './gatewayTestHarness.js'
import { SoakHost } from '../soak/soakHost.js'
import type { AddressInfo } from 'node:net'
import type { Server } from 'node:http'

interface FloodedAnswer {
  readonly text: string
  readonly delayMs: number
  /** Whether each byte is a chunk of its own. @default false */
  readonly isInBytes?: boolean
}

interface FloodedHostOptions {
  /** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
  readonly network: number
  readonly memoryMb: number
  readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>
  /** File descriptors that the settings state. */
  readonly fileDescriptors?: number
  /** Limits of the configuration that differ from the usual ones. */
  readonly limits?: Readonly<Record<string, number>>
  /** Most connections to the upstream of each service. @default 4000 */
  readonly connectionLimits?: Readonly<Record<'shop' | 'calm', number>>
  /** Whether requests need the key of an account. @default true */
  readonly hasTenants?: boolean
  /** Answer of the upstreams to a request. @default 'ok' after 300 ms */
  readonly buildAnswer?: (path: string) => FloodedAnswer
}

/** A host as a process, for floods beside sound requests, with one upstream for each of the services `shop` and `calm`. */
export class FloodedHost {
  host!: SoakHost
  private readonly product = buildProduct()
  private readonly store = new GatewayTestHarness('writer').store
  private readonly upstreams = { shop: this.createUpstream(), calm: this.createUpstream() }

  constructor (private readonly options: FloodedHostOptions) {}

  get address (): string {
    return `${this.host.ipAddress}:7001`
  }

  async start (): Promise<this> {
    const { network, memoryMb, fileDescriptors } = this.options
    const { folder, program } = this.product
    await this.store.start()
    this.writeConfiguration(1, 65_536)
    for (const [service, upstream] of Object.entries(this.upstreams)) {
      await new Promise<void>(resolve => { upstream.listen(0, '127.0.0.1', resolve) })
      this.store.write(`servers/i-${service}`, {
        service,
        address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`,
        zone: 'zone-1',
        version: 'v1',
        slots: 4000,
        state: 'ready',
        coldRemainingMs: 0,
        sequence: 1,
        born: 1
      })
    }
    // The index differs between concurrent runs of a test file.
    const index = process.pid % 250
    const storeAddress = this.store.address
    this.host = await new SoakHost({ index, network, folder, program, storeAddress, memoryMb, fileDescriptors }).start()
    return this
  }

  writeConfiguration (version: number, maxHeaderBytes: number): void {
    const { routes, limits, connectionLimits, hasTenants = true } = this.options
    const tenants = [{ name: 'flooding', apiKeys: ['flooding-key'] }, { name: 'steady', apiKeys: ['steady-key'] }]
    this.store.write('op/config', {
      version,
      routes,
      services: (['shop', 'calm'] as const).map(name => {
        return { name, healthCheckPath: '/health', connectionLimit: connectionLimits?.[name] ?? 4000 }
      }),
      limits: { maxHeaderBytes, maxBodyBytes: 4_194_304, headerTimeoutMs: 30_000, idleTimeoutMs: 15_000, ...limits },
      ...hasTenants ? { tenants } : {}
    })
  }

  /** Starts the process anew, so that its peak is that of the next flood. */
  async startAgain (): Promise<void> {
    await this.host.process.kill()
    this.host.process.start()
    await this.host.waitReady()
  }

  /** Peak of the memory of the process; Infinity when it has ended. */
  readPeakMb (): number {
    const { isRunning, pid } = this.host.process
    if (!isRunning) return Infinity
    return Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]) / 1024
  }

  async stop (): Promise<void> {
    await this.host.process.kill()
    await this.host.stop()
    for (const upstream of Object.values(this.upstreams)) {
      upstream.close()
      upstream.closeAllConnections()
    }
    this.store.stop()
    this.product.remove()
  }

  private createUpstream (): Server {
    return createServer({ maxHeaderSize: 131_072 }, (request, response) => {
      request.resume()
      const headers = { 'x-request-id': request.headers['x-request-id'] ?? '', 'x-response-signature': 'sig' }
      const answer: FloodedAnswer = this.options.buildAnswer?.(request.url ?? '/') ?? { text: 'ok', delayMs: 300 }
      const { text, delayMs, isInBytes = false } = answer
      request.on('end', () => {
        setTimeout(() => {
          if (!isInBytes) return response.writeHead(200, headers).end(text)
          response.writeHead(200, { ...headers, 'transfer-encoding': 'chunked' }).flushHeaders()
          response.socket?.write(text.replace(/./g, '1\r\n$&\r\n') + '0\r\n\r\n')
        }, delayMs)
      })
    })
  }
}
