import { LycheetrackError } from '../../shared/lycheetrackError.js'
import { chooseByRendezvous } from '../../shared/chooseByRendezvous.js'
import type { Clock } from '../../types/clock.js'
import type { MembershipView } from '../../types/membershipView.js'
import type { PeerTransport } from '../../types/peerTransport.js'
import { peerMethods } from '../peers/peerMethods.js'
import type { ClaimCommitter } from './claimCommitter.js'
import type { ClaimRecord } from './claimRecord.js'
import { claimConstants } from './constants.js'
import type { SegmentMutation } from './segmentMutation.js'

/**
 * Forwards the mutations of a segment to one host, chosen by rendezvous hashing, so that the claims of all hosts
 * are committed in shared writes. This only saves writes: when that host does not respond, this host writes the
 * segment itself, and compare-and-swap keeps concurrent writers correct.
 */
export class ForwardingClaimCommitter implements ClaimCommitter {
  constructor (
    private readonly local: ClaimCommitter,
    private readonly transport: PeerTransport,
    private readonly membership: MembershipView,
    private readonly clock: Clock
  ) {
    transport.handle(peerMethods.writeClaim, async request => {
      const deadlineMs = clock.readMonotonicMs() + (request.timeoutMs ?? 0)
      const record = await local.write(request.segmentKey ?? '', JSON.parse(request.mutation ?? '') as SegmentMutation, deadlineMs)
      return { record: record === undefined ? '' : JSON.stringify(record) }
    })
  }

  async write (segmentKey: string, mutation: SegmentMutation, deadlineMs: number): Promise<ClaimRecord | undefined> {
    const peerAddress = this.findCommittingPeer(segmentKey)
    const timeoutMs = Math.min(claimConstants.FORWARD_TIMEOUT_MS, deadlineMs - this.clock.readMonotonicMs())
    if (peerAddress === undefined || timeoutMs <= 0) return await this.local.write(segmentKey, mutation, deadlineMs)
    try {
      const request = { segmentKey, mutation: JSON.stringify(mutation), timeoutMs }
      const response = await this.transport.send(peerAddress, peerMethods.writeClaim, request, timeoutMs)
      return response.record ? JSON.parse(response.record) as ClaimRecord : undefined
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      return await this.local.write(segmentKey, mutation, deadlineMs)
    }
  }

  /** Address of the peer that commits the segment; undefined when this host commits it itself. */
  private findCommittingPeer (segmentKey: string): string | undefined {
    const hosts = this.membership.listHosts().filter(host => host.state === 'live')
    const chosen = chooseByRendezvous(segmentKey, hosts.map(host => host.id), 1)[0]
    if (chosen === undefined || chosen === this.membership.getSelf().id) return undefined
    return hosts.find(host => host.id === chosen)?.peerAddress
  }
}
