import { FaultProxy } from '../soak/faultProxy.js'
import { GatewayTestHarness } from './gatewayTestHarness.js'
import { StoreStandIn } from './storeStandIn.js'
import { UpstreamLink } from './upstreamLink.js'
import { UpstreamStandIn } from './upstreamStandIn.js'
import type { HostSettings } from '../../src/node/gateway/model/hostSettings.js'
import type { LinkCut } from './linkCut.js'
import type { LinkFault } from '../soak/linkFault.js'

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
  /** The paths of the linked hosts to the store. */
  private readonly storeLinks = new Map<GatewayTestHarness, FaultProxy>()

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
      const storeLink = isLinked ? await new FaultProxy(await this.startView(links)).start() : undefined
      const overrides = { ...settings?.(i), ...storeLink === undefined ? {} : { storeAddress: storeLink.address } }
      const host = await new GatewayTestHarness(`host-${i}`, this.store, overrides).start()
      this.hosts.push(host)
      if (storeLink === undefined) continue
      this.links.set(host, links)
      this.storeLinks.set(host, storeLink)
    }
    return this
  }

  async stop (): Promise<void> {
    for (const host of [...this.hosts].reverse()) await host.stop()
    for (const upstream of this.upstreams) upstream.stop()
    for (const links of this.links.values()) for (const link of links.values()) link.stop()
    for (const storeLink of this.storeLinks.values()) storeLink.stop()
    this.store.stop()
  }

  async startUpstream (id: string, service: string, answer: UpstreamStandIn['answer'], zone?: string): Promise<UpstreamStandIn> {
    const upstream = await new UpstreamStandIn(id, answer).start()
    this.upstreams.push(upstream)
    for (const links of this.links.values()) {
      links.set(`servers/${id}`, await new UpstreamLink(upstream.address).start())
    }
    this.hosts[0]!.addUpstream(upstream, service, 'ready', 'v1', zone)
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

  /** Lets a linked host exchange nothing with the store, until it is given a new connection after `none`. */
  applyStoreFault (host: GatewayTestHarness, fault: LinkFault): void {
    this.storeLinks.get(host)?.applyFault(fault)
  }

  private async startView (links: ReadonlyMap<string, UpstreamLink>): Promise<string> {
    return await this.store.startView((key, text) => {
      const link = links.get(key)
      return link === undefined ? text : JSON.stringify({ ...JSON.parse(text), address: link.address })
    })
  }
}
