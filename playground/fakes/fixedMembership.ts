import type { HostRecord } from '../../src/types/hostRecord.js'
import type { HostState } from '../../src/types/hostState.js'
import type { MembershipView } from '../../src/types/membershipView.js'

/** Membership view of one host for tests; the views of all hosts share one table, which tests change by `setState`. */
export class FixedMembership implements MembershipView {
  private readonly listeners = new Set<(host: HostRecord) => void>()

  constructor (private readonly selfId: string, private readonly hostsById: Map<string, HostRecord>) {}

  getSelf (): HostRecord {
    return this.hostsById.get(this.selfId)!
  }

  listHosts (): readonly HostRecord[] {
    return [...this.hostsById.values()].filter(host => host.state !== 'dead')
  }

  find (hostId: string): HostRecord | undefined {
    return this.hostsById.get(hostId)
  }

  onChange (listener: (host: HostRecord) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  setState (hostId: string, state: HostState): void {
    const host = { ...this.hostsById.get(hostId)!, state }
    this.hostsById.set(hostId, host)
    for (const listener of this.listeners) listener(host)
  }
}
