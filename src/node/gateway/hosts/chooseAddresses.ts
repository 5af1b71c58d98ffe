import { ingressConstants } from '../ingress/constants.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Random } from '../../../types/random.js'

/**
 * Chooses the client addresses for the response to an address query. Clients pick one at random. All hosts are listed:
 * with only the few hosts of the client's failure domain, the loss of the domain would leave its clients without an
 * address. When there are more hosts than fit into a response, those in the client's failure domain go first and the
 * others are drawn at random in proportion to their cores, so that every host gets its share of a large fleet's load.
 */
export function chooseAddresses (hosts: readonly HostEntry[], clientDomain: string | undefined, random: Random): readonly string[] {
  const { maxAddresses } = ingressConstants
  if (hosts.length <= maxAddresses) return hosts.map(host => host.clientAddress)
  const isLocal = (host: HostEntry): boolean => host.failureDomain === clientDomain
  return hosts
    // Weighted sampling without replacement: the hosts with the smallest exponentially distributed values of rate `cores`.
    .map(host => ({ host, value: isLocal(host) ? -1 : -Math.log(1 - random()) / host.cores }))
    .sort((a, b) => a.value - b.value)
    .slice(0, maxAddresses)
    .map(({ host }) => host.clientAddress)
}
