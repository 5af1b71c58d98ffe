import { peerMethods } from '../peers/peerMethods.js'
import type { ContractStatus } from '../../types/contractStatus.js'
import type { HostRecord } from '../../types/hostRecord.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { contractConstants } from './constants.js'
import type { ContractWriter } from './contractWriter.js'

interface HostRevision {
  readonly revision: number
  readonly confirmedAgeMs: number
}

/** Asks every host that is not dead which revision is in force there; `local` is the revision of this host. */
export async function readContractStatus (account: string, writer: ContractWriter, membership: MembershipView, transport: PeerTransport, local: HostRevision): Promise<ContractStatus> {
  const self = membership.getSelf().id
  const readHost = async (host: HostRecord): Promise<HostRevision | undefined> => {
    if (host.id === self) return local
    const response = await transport.send(host.peerAddress, peerMethods.contractInForce, { account }, contractConstants.peerTimeoutMs).catch(() => undefined)
    return response && { revision: Number(response.revision ?? 0), confirmedAgeMs: response.confirmedAgeMs ?? -1 }
  }
  const hosts = membership.listHosts()
  const [stored, hostRevisions] = await Promise.all([
    writer.read(account).then(revision => revision?.revision ?? 0, () => undefined),
    Promise.all(hosts.map(readHost))
  ])
  const accepted = stored ?? Math.max(0, ...hostRevisions.map(host => host?.revision ?? 0))
  const perHost = hosts.map((host, i) => ({
    host: host.id,
    revision: hostRevisions[i]?.revision ?? null,
    confirmedAgeMs: hostRevisions[i] ? Math.round(hostRevisions[i].confirmedAgeMs) : null,
    state: formatState(hostRevisions[i], accepted)
  }))
  const inForce = perHost.filter(entry => entry.revision !== null && entry.revision >= accepted).length
  return { account, accepted, acceptedConfirmed: stored !== undefined, inForce, hosts: hosts.length, perHost }
}

function formatState (host: HostRevision | undefined, accepted: number): 'in_force' | 'behind' | 'unconfirmed' | 'silent' {
  if (!host) return 'silent'
  if (host.revision < accepted) return 'behind'
  const isConfirmed = host.confirmedAgeMs >= 0 && host.confirmedAgeMs <= contractConstants.unconfirmedAfterMs
  return isConfirmed ? 'in_force' : 'unconfirmed'
}
