import { ingressConstants } from '../ingress/constants.js'
import type { HostEntry } from '../model/hostEntry.js'

/**
 * Chooses the client addresses for the response to an address query. Clients pick one at random. All hosts are listed:
 * with only the few hosts of the client's failure domain, the loss of the domain would leave its clients without an
 * address. When there are more hosts than fit into a response, those in the client's failure domain go first.
 */
export function chooseAddresses (hosts: readonly HostEntry[], clientDomain: string | undefined): readonly string[] {
  return [...hosts]
    .sort((a, b) => Number(b.failureDomain === clientDomain) - Number(a.failureDomain === clientDomain))
    .slice(0, ingressConstants.maxAddresses)
    .map(host => host.clientAddress)
}
