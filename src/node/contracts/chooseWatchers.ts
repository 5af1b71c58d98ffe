import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { HostRecord } from '../../types/hostRecord.js'
import { contractConstants } from './constants.js'

/** Chooses the two hosts of a failure domain that watch the key-value service, by rendezvous hashing. */
export function chooseWatchers (failureDomain: string, hosts: readonly HostRecord[]): readonly string[] {
  const candidates = hosts.filter(host => host.failureDomain === failureDomain && host.state === 'live')
  return chooseByRendezvous(`contracts-watch/${failureDomain}`, candidates.map(host => host.id), contractConstants.watchersPerDomain)
}
