import { createGatewayHost } from '../../src/node/app/createGatewayHost.js'
import { findFreePort } from './findFreePort.js'
import { sendClientRequest } from './sendClientRequest.js'
import { StoreStandIn } from './storeStandIn.js'
import { waitUntil } from '../fakes/waitUntil.js'
import type { ClientAnswer } from './clientAnswer.js'
import type { ClientRequestOptions } from './clientRequestOptions.js'
import type { HostSettings } from '../../src/node/gateway/model/hostSettings.js'
import type { HostTimings } from '../../src/node/gateway/model/hostTimings.js'
import type { ReloadableHost } from '../../src/node/cli/reloadableHost.js'
import type { UpstreamStandIn } from './upstreamStandIn.js'

const routeDefaults = { host: 'shop.example', kind: 'safe', timeoutMs: 2000, targetLatencyMs: 500, priority: 1, maxAttempts: 2 }

type SettingOverrides = Omit<Partial<HostSettings>, 'timings'> & { readonly timings?: Partial<HostTimings> }

/**
 * Test harness with a store stand-in and one real gateway host, all in this process. Several hosts can share a store.
 */
export class GatewayTestHarness {
  readonly store: StoreStandIn
  /** Log lines of the host. */
  readonly logLines: string[] = []
  settings!: HostSettings
  /** `ip:port`. */
  metricsAddress = ''
  host!: ReloadableHost
  private version = 1
  private requestCount = 0

  /** `sharedStore` is the store of another harness, which starts, configures and stops it. */
  constructor (
    private readonly hostId = 'host-1',
    private readonly sharedStore?: StoreStandIn,
    private readonly overrides: SettingOverrides = {}
  ) {
    this.store = sharedStore ?? new StoreStandIn()
  }

  async start (): Promise<this> {
    if (this.sharedStore === undefined) {
      await this.store.start()
      this.writeConfiguration({})
    }
    const { timings, ...settings } = this.overrides
    const ports = await Promise.all(Array.from({ length: 5 }, findFreePort))
    this.settings = {
      hostId: this.hostId,
      failureDomain: 'quay-a',
      ipAddress: '127.0.0.1',
      clientAddress: `127.0.0.1:${ports[0]}`,
      readinessAddress: `127.0.0.1:${ports[1]}`,
      directoryAddress: `127.0.0.1:${ports[2]}`,
      firstPeerPort: ports[3]!,
      lastPeerPort: ports[3]!,
      storeAddress: this.store.address,
      cores: 1,
      memoryBytes: 500_000_000,
      fileDescriptors: 4000,
      timings: {
        drainMs: 2000,
        gracePeriodMs: 1200,
        configurationMs: 2000,
        faultGraceMs: 3000,
        maxAddressLifetimeMs: 5000,
        retryRatio: 0.2,
        retryWindowMs: 10_000,
        extraRetries: 50,
        heartbeatMs: 1200,
        ...timings
      },
      ...settings
    }
    this.metricsAddress = `127.0.0.1:${ports[4]}`
    this.host = await createGatewayHost(this.settings, { metricsPort: ports[4]!, writeLine: line => { this.logLines.push(line) } })
    return this
  }

  async stop (): Promise<void> {
    this.host.drain()
    await this.host.waitUntilStopped()
    if (this.sharedStore === undefined) this.store.stop()
  }

  /** Writes the next version of the configuration, with defaults for routes and services; returns its version. */
  writeConfiguration (part: {
    readonly routes?: ReadonlyArray<Record<string, unknown>>,
    readonly services?: ReadonlyArray<Record<string, unknown>>,
    readonly limits?: Readonly<Record<string, number>>,
    readonly tenants?: unknown
  }): number {
    const { routes = [], services = [], ...rest } = part
    this.version += 3
    this.store.write('op/config', {
      version: this.version,
      routes: routes.map(route => ({ name: 'r', ...routeDefaults, ...route })),
      services: services.map(service => ({ healthCheckPath: '/health', connectionLimit: 20, ...service })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
      ...rest
    })
    return this.version
  }

  addUpstream (standIn: UpstreamStandIn, service: string, state = 'ready', version = 'v1', zone = 'quay-a'): void {
    this.store.write(`servers/${standIn.id}`, {
      service,
      address: standIn.address,
      zone,
      version,
      slots: 4,
      state,
      coldRemainingMs: 0,
      sequence: 1,
      born: 1
    })
  }

  /** Resolves when a log line with this message contains `text`. */
  async waitForLogLine (message: string, text = ''): Promise<void> {
    await waitUntil(() => this.logLines.some(line => line.includes(`"message":"${message}"`) && line.includes(text)))
  }

  /** Resolves when an upstream has received `count` requests. */
  async waitForRequests (standIn: UpstreamStandIn, count: number): Promise<void> {
    await waitUntil(() => standIn.requests.length >= count)
  }

  /** Sends a client's request on a new connection. */
  async send (path: string, options: ClientRequestOptions = {}): Promise<ClientAnswer> {
    const id = `request-${this.hostId === 'host-1' ? '' : `${this.hostId}-`}${++this.requestCount}`
    return await sendClientRequest(this.settings.clientAddress, id, path, options)
  }
}
