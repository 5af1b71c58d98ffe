import { ingressConstants } from '../ingress/constants.js'
import type { HostEntry } from '../model/hostEntry.js'

/**
 * Client addresses for an answer to an address query. Clients pick one at random, so all hosts are named: with the
 * few hosts of a domain alone, the loss of one would leave its clients without an address. Beyond the largest answer,
 * hosts in the client's domain go first.
 */
export function chooseAddresses (hosts: readonly HostEntry[], clientDomain: string | undefined): readonly string[] {
  return [...hosts]
    .sort((a, b) => Number(b.failureDomain === clientDomain) - Number(a.failureDomain === clientDomain))
    .slice(0, ingressConstants.maxAddresses)
    .map(host => host.clientAddress)
}
