import { chooseByRendezvous } from '../../../shared/chooseByRendezvous.js'
import { upstreamConstants } from './constants.js'

/**
 * Part of an upstream's request limit that a host may use, from 0 to 1. A few hosts share the limit, chosen by
 * rendezvous hashing without messages: at hundreds of hosts, equal shares of a limit of a few requests a second could
 * hardly be used.
 */
export function computeLimitShare (upstreamId: string, hostId: string, hostIds: readonly string[]): number {
  const sharing = chooseByRendezvous(`limit ${upstreamId}`, hostIds, upstreamConstants.maxLimitHosts)
  return sharing.includes(hostId) ? 1 / sharing.length : 0
}
