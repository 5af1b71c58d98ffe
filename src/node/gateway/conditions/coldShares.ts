import { chooseByRendezvous } from '../../../shared/chooseByRendezvous.js'
import { computeColdAllowance } from './computeColdAllowance.js'
import { conditionConstants } from './constants.js'
import type { ColdBound } from '../model/coldBound.js'

/**
 * Computes this host's share of what a cold upstream takes from all hosts, without messages between them. Answers the
 * load of hundreds of hosts that want to use an upstream that has just started. A host that has just become ready has
 * no share, because hosts that start together do not know each other yet.
 */
export class ColdShares {
  private readySinceMs: number | undefined

  /** `listHostIds` lists the hosts that are ready, as this host knows them. */
  constructor (private readonly hostId: string, private readonly listHostIds: () => readonly string[]) {}

  /** Takes a change of this host's readiness into account. */
  observeReadiness (isReady: boolean, nowMs: number): void {
    this.readySinceMs = isReady ? this.readySinceMs ?? nowMs : undefined
  }

  /** Requests a second that this host may send to the upstream. */
  computeRate (upstreamId: string, coldRate: number, bound: ColdBound, nowMs: number): number {
    if (this.readySinceMs === undefined || nowMs - this.readySinceMs < conditionConstants.coldSettleMs) return 0
    const { hostCount, requestsPerSecond } = computeColdAllowance(coldRate, bound)
    const sharing = chooseByRendezvous(`cold ${upstreamId}`, this.listHostIds(), hostCount)
    return sharing.includes(this.hostId) ? requestsPerSecond : 0
  }
}
