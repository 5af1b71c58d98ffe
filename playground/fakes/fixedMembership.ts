import type { HostRecord } from '../../src/types/hostRecord.js'
import type { HostState } from '../../src/types/hostState.js'
import type { MembershipView } from '../../src/types/membershipView.js'

/** Membership for tests: one table shared by the views of all hosts. */
export class FixedMembership implements MembershipView {
  private readonly listeners = new Set<(host: HostRecord) => void>()

  constructor (private readonly selfId: string, private readonly table: Map<string, HostRecord>) {}

  getSelf (): HostRecord {
    return this.table.get(this.selfId)!
  }

  listHosts (): readonly HostRecord[] {
    return [...this.table.values()].filter(host => host.state !== 'dead')
  }

  find (hostId: string): HostRecord | undefined {
    return this.table.get(hostId)
  }

  onChange (listener: (host: HostRecord) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  setState (hostId: string, state: HostState): void {
    const host = { ...this.table.get(hostId)!, state }
    this.table.set(hostId, host)
    for (const listener of this.listeners) listener(host)
  }
}
