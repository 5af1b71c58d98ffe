import type { HostRecord } from '../../src/types/hostRecord.js'
import type { MembershipView } from '../../src/types/membershipView.js'

/** Creates the membership view of one host in a fleet that does not change. */
export function createFixedMembershipView (self: HostRecord, hosts: readonly HostRecord[]): MembershipView & { listHostListIds (): readonly string[] } {
  const byId = new Map(hosts.map(host => [host.id, host]))
  const ids = hosts.map(host => host.id)
  return {
    getSelf: () => self,
    listHosts: () => hosts,
    listHostListIds: () => ids,
    find: hostId => byId.get(hostId),
    onChange: () => () => {}
  }
}
