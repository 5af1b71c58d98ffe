import { storeConstants } from '../store/constants.js'
import { chooseByRendezvous } from '../../../shared/chooseByRendezvous.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Logger } from '../../../types/logger.js'

/** Hosts with at least this share of the cores of the largest host may schedule stage work. */
const largeHostShare = 0.9

/** A live host registers again within its renewal interval after the store returns. */
const missingHostGraceMs = storeConstants.renewMs + 500

/** The hosts that are registered in the store. This host is always among them, with its own current entry. */
export class HostDirectory {
  private readonly others = new Map<string, HostEntry>()
  /** Hosts whose entries are missing after a store outage, with the time of their removal. */
  private readonly removeAtMs = new Map<string, number>()

  constructor (private self: HostEntry, private readonly logger: Logger, private readonly onChanged: () => void) {}

  getSelf (): HostEntry {
    return this.self
  }

  updateSelf (entry: HostEntry): void {
    this.self = entry
    this.onChanged()
  }

  /**
   * Applies a complete list of hosts. After an outage of the store, in which leases may have expired, hosts that are missing
   * from it are kept for a grace period: without it, every host would schedule all stage work until the others register again.
   */
  applySnapshot (entries: readonly HostEntry[], isAfterOutage: boolean, nowMs: number): void {
    const ids = new Set(entries.map(entry => entry.id))
    for (const id of [...this.others.keys()]) {
      if (ids.has(id)) continue
      if (!isAfterOutage) this.removeHost(id, 'missing from the store snapshot')
      else if (!this.removeAtMs.has(id)) this.removeAtMs.set(id, nowMs + missingHostGraceMs)
    }
    for (const entry of entries) this.applyEntry(entry)
  }

  /** Removes hosts whose entries are still missing after the grace period that follows a store outage. */
  removeMissing (nowMs: number): void {
    for (const [id, atMs] of this.removeAtMs) {
      if (atMs <= nowMs) this.removeHost(id, 'still missing after a store outage')
    }
  }

  applyEntry (entry: HostEntry): void {
    if (entry.id === this.self.id) return
    const known = this.others.get(entry.id)
    this.others.set(entry.id, entry)
    this.removeAtMs.delete(entry.id)
    if (known === undefined || known.isReady !== entry.isReady) {
      this.logger.recordInfo('host added or changed', {
        peer: entry.id,
        address: entry.clientAddress,
        isReady: entry.isReady
      })
    }
    this.onChanged()
  }

  removeHost (id: string, reason = 'entry removed'): void {
    this.removeAtMs.delete(id)
    if (!this.others.delete(id)) return
    this.logger.recordInfo('host removed', { peer: id, reason })
    this.onChanged()
  }

  /** Hosts that accept new connections. */
  listReady (): readonly HostEntry[] {
    return [this.self, ...this.others.values()].filter(host => host.isReady)
  }

  /** Number of hosts with an entry, including this one. */
  countHosts (): number {
    return this.others.size + 1
  }

  /**
   * Chooses the host that schedules the stage work of a cell, preferably one in its failure domains; this host when none
   * is ready. While two hosts disagree, they fill their calls less, which only costs efficiency.
   */
  chooseScheduler (excludedIds: ReadonlySet<string>, cellDomains: readonly string[]): HostEntry {
    const allReady = this.listReady().filter(host => !excludedIds.has(host.id))
    const local = allReady.filter(host => cellDomains.includes(host.failureDomain))
    const ready = local.length > 0 ? local : allReady
    // The scheduling work grows with the traffic, so it goes to one of the hosts with the most processor cores.
    const mostCores = Math.max(0, ...ready.map(host => host.cores))
    const candidates = ready.filter(host => host.cores >= mostCores * largeHostShare)
    const [id] = chooseByRendezvous(`stage-scheduler ${cellDomains.join()}`, candidates.map(host => host.id), 1)
    return candidates.find(host => host.id === id) ?? this.self
  }
}
