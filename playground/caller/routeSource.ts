import { request, type Dispatcher } from 'undici'
import { z } from 'zod'
import type { Random } from '../../src/types/random.js'

const routeTimeoutMs = 1000
/** Time for which an address is avoided after a failure. */
const failedAddressAvoidMs = 2000
const routeAnswer = z.object({
  addresses: z.array(z.object({ address: z.string(), failureDomain: z.string() })),
  lifetimeMs: z.number().positive()
})

interface RouteSourceOptions {
  /** Addresses (`ip:port`) of the entry hosts that the route is read from. */
  readonly entryAddresses: readonly string[]
  readonly token: string
  readonly dispatcher: Dispatcher
  readonly random: Random
}

/** Provides the addresses to connect to. Reads the route from any entry host and caches it for its lifetime. */
export class RouteSource {
  private addresses: readonly string[] = []
  private expiresAtMs = 0
  private pendingRead: Promise<void> | undefined
  private readonly failedAtMs = new Map<string, number>()

  constructor (private readonly options: RouteSourceOptions) {}

  /** Chooses an address of the route, other than `exclude` when possible; undefined when no host has returned a route. */
  async chooseAddress (exclude?: string): Promise<string | undefined> {
    if (performance.now() >= this.expiresAtMs) {
      this.pendingRead ??= this.readRoute().finally(() => { this.pendingRead = undefined })
      await this.pendingRead
    }
    const others = this.addresses.filter(address => address !== exclude)
    const healthy = others.filter(address => performance.now() - (this.failedAtMs.get(address) ?? -Infinity) > failedAddressAvoidMs)
    return this.chooseOne(healthy) ?? this.chooseOne(others) ?? this.addresses[0]
  }

  /** Avoids an address for 2 s and makes the next choice read the route again. */
  recordFailure (address: string): void {
    this.failedAtMs.set(address, performance.now())
    this.expiresAtMs = 0
  }

  /** Replaces the addresses by those that a host's error response lists; without any, they stay. */
  applyAddresses (addresses: readonly string[]): void {
    if (addresses.length > 0) this.addresses = addresses
  }

  private chooseOne (addresses: readonly string[]): string | undefined {
    return addresses[Math.floor(this.options.random() * addresses.length)]
  }

  private async readRoute (): Promise<void> {
    const { entryAddresses, random } = this.options
    const candidates = [...new Set([...this.addresses, ...entryAddresses])].map(address => ({ address, order: random() }))
    for (const { address } of candidates.sort((a, b) => a.order - b.order)) {
      const route = await this.readRouteFrom(address)
      if (!route || route.addresses.length === 0) continue
      this.addresses = route.addresses.map(entry => entry.address)
      this.expiresAtMs = performance.now() + route.lifetimeMs
      return
    }
  }

  private async readRouteFrom (address: string): Promise<z.infer<typeof routeAnswer> | undefined> {
    try {
      const answer = await request(`http://${address}/v1/route`, {
        dispatcher: this.options.dispatcher,
        headers: { authorization: `Bearer ${this.options.token}` },
        signal: AbortSignal.timeout(routeTimeoutMs)
      })
      const text = await answer.body.text()
      return answer.statusCode === 200 ? routeAnswer.parse(JSON.parse(text)) : undefined
    } catch {
      // Every entry host serves the route, so the next one is asked.
      return undefined
    }
  }
}
