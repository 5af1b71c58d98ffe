import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { createMembership } from '../../src/node/membership/createMembership.js'
import type { HostListEntry } from '../../src/types/hostListEntry.js'
import type { MembershipView } from '../../src/types/membershipView.js'
import type { PeerTransport } from '../../src/types/peerTransport.js'
import type { Random } from '../../src/types/random.js'
import type { Scheduler } from '../../src/types/scheduler.js'
import { createSilentLogger } from './createSilentLogger.js'
import { createMemoryMetrics } from './createMemoryMetrics.js'
import { FakePeerNetwork } from './fakePeerNetwork.js'
import { VirtualClock } from './virtualClock.js'

interface ClusterHost {
  readonly id: string
  readonly membership: ReturnType<typeof createMembership>
  readonly transport: PeerTransport
  readonly scheduler: Scheduler
}

/** Hosts with membership on a fake network under virtual time; the seed determines the whole run. */
export class MembershipCluster {
  readonly clock = new VirtualClock()
  readonly network: FakePeerNetwork
  readonly hosts = new Map<string, ClusterHost>()
  readonly random: Random
  /** Entries of the host list of the platform; tests may change them. */
  hostListEntries: HostListEntry[] = []

  constructor (seed: number, private readonly failureDomains = 3) {
    this.random = createSeededRandom(seed)
    this.network = new FakePeerNetwork(this.clock, this.random)
  }

  /** Starts a host and adds it to the host list. */
  addHost (id: string): ClusterHost {
    const { transport, scheduler } = this.network.createHost(id)
    const failureDomain = `quay-${this.hosts.size % this.failureDomains}`
    const peerAddress = `${id}:1`
    const membership = createMembership({
      hostId: id,
      failureDomain,
      address: `${id}:2`,
      peerAddress,
      transport,
      hostList: { read: async () => this.hostListEntries },
      logger: createSilentLogger(),
      metrics: createMemoryMetrics(),
      clock: this.clock,
      scheduler,
      random: this.random
    })
    if (!this.hostListEntries.some(entry => entry.id === id)) this.hostListEntries.push({ id, address: `${id}:2`, peerAddress, role: 'entry', failureDomain, state: 'live' })
    const host = { id, membership, transport, scheduler }
    this.hosts.set(id, host)
    membership.start().catch(() => {})
    return host
  }

  addHosts (count: number): void {
    for (let i = 0; i < count; i++) this.addHost(`host-${i}`)
  }

  /** Returns the state of `hostId` in the view of each host of `observerIds`. */
  listStates (observerIds: readonly string[], hostId: string): ReadonlyArray<string | undefined> {
    return observerIds.map(id => (this.hosts.get(id)?.membership as MembershipView).find(hostId)?.state)
  }

  /** Advances the time until `isDone` returns true, for at most `limitMs`. Returns the time that it took, or undefined if it did not. */
  async runUntil (isDone: () => boolean, limitMs: number): Promise<number | undefined> {
    const startMs = this.clock.readMonotonicMs()
    while (this.clock.readMonotonicMs() - startMs <= limitMs) {
      if (isDone()) return this.clock.readMonotonicMs() - startMs
      await this.clock.runFor(100)
    }
    return undefined
  }
}
