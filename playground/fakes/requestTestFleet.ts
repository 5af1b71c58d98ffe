import type { HostRecord } from '../../src/types/hostRecord.js'
import type { Upstream } from '../../src/types/upstream.js'
import { LoopbackPeers } from './loopbackPeers.js'
import { MemoryClaims } from './memoryClaims.js'
import { RequestTestHost } from './requestTestHost.js'
import { ScriptedUpstream } from './scriptedUpstream.js'

interface RequestTestFleetOptions {
  readonly hosts?: number
  readonly streamSilenceMs?: number
  readonly abandonGraceMs?: number
  readonly bodyTimeoutMs?: number
}

/** Entry hosts for a test, with one pool of model engines, stage pool members and plain services each, of two upstreams. */
export class RequestTestFleet {
  readonly peers = new LoopbackPeers()
  readonly claims = new MemoryClaims()
  readonly hostsById = new Map<string, HostRecord>()
  readonly engines = [new ScriptedUpstream(), new ScriptedUpstream()] as const
  readonly stagePoolMembers = [new ScriptedUpstream(), new ScriptedUpstream()] as const
  readonly services = [new ScriptedUpstream(), new ScriptedUpstream()] as const
  readonly hosts: RequestTestHost[] = []

  constructor (private readonly options: RequestTestFleetOptions = {}) {}

  async start (): Promise<this> {
    const upstreams: Upstream[] = []
    for (const [pool, list] of Object.entries({ runners: this.engines, pool: this.stagePoolMembers, service: this.services })) {
      for (const [index, upstream] of list.entries()) {
        await upstream.start()
        upstreams.push({ id: `${pool}-${index}`, address: upstream.address, pool, failureDomain: 'a', state: 'live' })
      }
    }
    for (let index = 0; index < (this.options.hosts ?? 1); index++) {
      const host = new RequestTestHost({ ...this.options, id: `host-${index}`, hostsById: this.hostsById, peers: this.peers, claims: this.claims, upstreams })
      this.hosts.push(host)
    }
    for (const host of this.hosts) await host.start()
    return this
  }

  async stop (): Promise<void> {
    for (const host of this.hosts) await host.stop()
    for (const upstream of [...this.engines, ...this.stagePoolMembers, ...this.services]) upstream.stop()
  }
}
