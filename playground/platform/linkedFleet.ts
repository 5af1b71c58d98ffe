import { GatewayTestHarness } from './gatewayTestHarness.js'
import { StoreStandIn } from './storeStandIn.js'
import { UpstreamLink } from './upstreamLink.js'
import { UpstreamStandIn } from './upstreamStandIn.js'
import type { HostSettings } from '../../src/node/gateway/model/hostSettings.js'
import type { LinkCut } from './linkCut.js'

interface FleetOptions {
  readonly hostCount: number
  /** Number of hosts that reach the upstreams through links, the last ones. */
  readonly linkedCount: number
  readonly settings?: (index: number) => Partial<HostSettings>
}

/** Gateway hosts on one store, some of which reach the upstreams through links that a test cuts. */
export class LinkedFleet {
  readonly store = new StoreStandIn()
  readonly hosts: GatewayTestHarness[] = []
  readonly upstreams: UpstreamStandIn[] = []
  /** Links by store key of the upstream, for each linked host. */
  private readonly links = new Map<GatewayTestHarness, Map<string, UpstreamLink>>()

  constructor (private readonly options: FleetOptions) {}

  /** The hosts that reach the upstreams through links. */
  get linkedHosts (): readonly GatewayTestHarness[] {
    return [...this.links.keys()]
  }

  async start (): Promise<this> {
    const { hostCount, linkedCount, settings } = this.options
    await this.store.start()
    for (let i = 1; i <= hostCount; i++) {
      const links = new Map<string, UpstreamLink>()
      const isLinked = i > hostCount - linkedCount
      const overrides = { ...settings?.(i), ...isLinked ? { storeAddress: await this.startView(links) } : {} }
      const host = await new GatewayTestHarness(`host-${i}`, this.store, overrides).start()
      this.hosts.push(host)
      if (isLinked) this.links.set(host, links)
    }
    return this
  }

  async stop (): Promise<void> {
    for (const host of [...this.hosts].reverse()) await host.stop()
    for (const upstream of this.upstreams) upstream.stop()
    for (const links of this.links.values()) for (const link of links.values()) link.stop()
    this.store.stop()
  }

  async startUpstream (id: string, service: string, answer: UpstreamStandIn['answer']): Promise<UpstreamStandIn> {
    const upstream = await new UpstreamStandIn(id, answer).start()
    this.upstreams.push(upstream)
    for (const links of this.links.values()) {
      links.set(`servers/${id}`, await new UpstreamLink(upstream.address).start())
    }
    this.hosts[0]!.addUpstream(upstream, service)
    return upstream
  }

  /** Writes the configuration; resolves when all hosts have it and know the last upstream. */
  async applyConfiguration (part: Parameters<GatewayTestHarness['writeConfiguration']>[0]): Promise<void> {
    const version = this.hosts[0]!.writeConfiguration(part)
    for (const host of this.hosts) {
      await host.waitForLogLine('configuration in force', `"version":${version}`)
      await host.waitForLogLine('upstream added', this.upstreams.at(-1)?.id)
    }
  }

  /** Cuts hosts off from all upstreams until `openLinks`. */
  closeLinks (hosts: readonly GatewayTestHarness[], kind: LinkCut): void {
    for (const host of hosts) {
      for (const link of this.links.get(host)?.values() ?? []) link.closePath(kind)
    }
  }

  async openLinks (): Promise<void> {
    const links = [...this.links.values()].flatMap(hostLinks => [...hostLinks.values()])
    await Promise.all(links.map(async link => { await link.openPath() }))
  }

  private async startView (links: ReadonlyMap<string, UpstreamLink>): Promise<string> {
    return await this.store.startView((key, text) => {
      const link = links.get(key)
      return link === undefined ? text : JSON.stringify({ ...JSON.parse(text), address: link.address })
    })
  }
}
