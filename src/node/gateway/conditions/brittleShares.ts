import { computeRendezvousRank } from '../../../shared/computeRendezvousRank.js'
import { conditionConstants } from './constants.js'

/**
 * Computes this host's share of the places of a brittle upstream, without messages between hosts. Answers the load of
 * hundreds of hosts that together must not have more requests in progress there than it has places. A host that has
 * just become ready has no share, because hosts that start together do not know each other yet.
 */
export class BrittleShares {
  private readySinceMs: number | undefined
  private hostIds: readonly string[] = []
  private listedAtMs = -Infinity
  /** This host's rank among those that share, by upstream. */
  private readonly ranks = new Map<string, number | undefined>()

  /** `listHostIds` lists the hosts that are ready, as this host knows them. */
  constructor (private readonly hostId: string, private readonly listHostIds: () => readonly string[]) {}

  /** Takes a change of this host's readiness into account. */
  observeReadiness (isReady: boolean, nowMs: number): void {
    this.readySinceMs = isReady ? this.readySinceMs ?? nowMs : undefined
  }

  /**
   * Whole places that this host may take at an upstream that bears so many rejections a second. A host that knows few
   * others takes no more than among many.
   */
  computePlaces (upstreamId: string, slots: number, maxRejections: number, nowMs: number): number {
    const { brittleHosts, brittleSparePlaces, brittleFewRejections, coldSettleMs } = conditionConstants
    if (this.readySinceMs === undefined || nowMs - this.readySinceMs < coldSettleMs) return 0
    const most = slots - Math.floor(slots / brittleSparePlaces)
    const places = maxRejections < brittleFewRejections ? Math.ceil(most / 2) : most
    const hostCount = Math.min(brittleHosts, places)
    const rank = this.findRank(upstreamId, nowMs)
    if (rank === undefined || rank >= hostCount) return 0
    return Math.floor(places / hostCount) + (rank < places % hostCount ? 1 : 0)
  }

  /** Ranks are kept while the hosts are the same: there may be thousands of upstreams and hundreds of hosts. */
  private findRank (upstreamId: string, nowMs: number): number | undefined {
    const { brittleHosts, brittleRefreshMs } = conditionConstants
    if (nowMs - this.listedAtMs >= brittleRefreshMs) {
      this.listedAtMs = nowMs
      const hostIds = this.listHostIds()
      const isSame = hostIds.length === this.hostIds.length && hostIds.every((id, i) => id === this.hostIds[i])
      if (!isSame) this.ranks.clear()
      this.hostIds = hostIds
    }
    if (!this.ranks.has(upstreamId)) {
      const key = `brittle ${upstreamId}`
      this.ranks.set(upstreamId, computeRendezvousRank(key, this.hostId, this.hostIds, brittleHosts))
    }
    return this.ranks.get(upstreamId)
  }
}
