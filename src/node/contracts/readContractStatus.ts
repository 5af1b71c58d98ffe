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

/** Asks every host that is not dead which revision is in force there; `local` is the answer of this host. */
export async function readContractStatus (account: string, writer: ContractWriter, membership: MembershipView, transport: PeerTransport, local: HostRevision): Promise<ContractStatus> {
  const self = membership.getSelf().id
  const readHost = async (host: HostRecord): Promise<HostRevision | undefined> => {
    if (host.id === self) return local
    const answer = await transport.send(host.peerAddress, peerMethods.contractInForce, { account }, contractConstants.peerTimeoutMs).catch(() => undefined)
    return answer && { revision: Number(answer.revision ?? 0), confirmedAgeMs: answer.confirmedAgeMs ?? -1 }
  }
  const hosts = membership.listHosts()
  const [stored, hostRevisions] = await Promise.all([
    writer.read(account).then(revision => revision?.revision ?? 0, () => undefined),
    Promise.all(hosts.map(readHost))
  ])
  const accepted = stored ?? Math.max(0, ...hostRevisions.map(answer => answer?.revision ?? 0))
  const perHost = hosts.map((host, i) => ({
    host: host.id,
    revision: hostRevisions[i]?.revision ?? null,
    confirmedAgeMs: hostRevisions[i] ? Math.round(hostRevisions[i].confirmedAgeMs) : null,
    state: formatState(hostRevisions[i], accepted)
  }))
  const inForce = perHost.filter(entry => entry.revision !== null && entry.revision >= accepted).length
  return { account, accepted, acceptedConfirmed: stored !== undefined, inForce, hosts: hosts.length, perHost }
}

function formatState (answer: HostRevision | undefined, accepted: number): 'in_force' | 'behind' | 'unconfirmed' | 'silent' {
  if (!answer) return 'silent'
  if (answer.revision < accepted) return 'behind'
  const isConfirmed = answer.confirmedAgeMs >= 0 && answer.confirmedAgeMs <= contractConstants.unconfirmedAfterMs
  return isConfirmed ? 'in_force' : 'unconfirmed'
}
