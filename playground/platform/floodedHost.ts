import { createServer } from 'node:http'
import { readFileSync } from 'node:fs'
import { buildProduct } from './buildProduct.js'
import { GatewayTestHarness } from './gatewayTestHarness.js'
import { SoakHost } from '../soak/soakHost.js'
import type { AddressInfo } from 'node:net'

interface FloodedHostOptions {
  /** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
  readonly network: number
  readonly memoryMb: number
  readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>
}

/** A host as a process, for floods from one account beside sound requests of another; its upstream answers after 300 ms. */
export class FloodedHost {
  host!: SoakHost
  private readonly product = buildProduct()
  private readonly store = new GatewayTestHarness('writer').store
  private readonly upstream = createServer({ maxHeaderSize: 131_072 }, (request, response) => {
    request.resume()
    const headers = { 'x-request-id': request.headers['x-request-id'] ?? '', 'x-response-signature': 'sig' }
    request.on('end', () => { setTimeout(() => { response.writeHead(200, headers).end('ok') }, 300) })
  })

  constructor (private readonly options: FloodedHostOptions) {}

  get address (): string {
    return `${this.host.ipAddress}:7001`
  }

  async start (): Promise<this> {
    const { network, memoryMb } = this.options
    const { folder, program } = this.product
    await this.store.start()
    await new Promise<void>(resolve => { this.upstream.listen(0, '127.0.0.1', resolve) })
    this.writeConfiguration(1, 65_536)
    this.store.write('servers/i-shop', {
      service: 'shop',
      address: `127.0.0.1:${(this.upstream.address() as AddressInfo).port}`,
      zone: 'zone-1',
      version: 'v1',
      slots: 4000,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: 1
    })
    // The index differs between concurrent runs of a test file.
    const index = process.pid % 250
    this.host = await new SoakHost({ index, network, folder, program, storeAddress: this.store.address, memoryMb }).start()
    return this
  }

  writeConfiguration (version: number, maxHeaderBytes: number): void {
    this.store.write('op/config', {
      version,
      routes: this.options.routes,
      services: [{ name: 'shop', healthCheckPath: '/health', connectionLimit: 4000 }],
      limits: { maxHeaderBytes, maxBodyBytes: 4_194_304, headerTimeoutMs: 30_000, idleTimeoutMs: 15_000 },
      tenants: [{ name: 'flooding', apiKeys: ['flooding-key'] }, { name: 'steady', apiKeys: ['steady-key'] }]
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
    this.upstream.close()
    this.upstream.closeAllConnections()
    this.store.stop()
    this.product.remove()
  }
}
