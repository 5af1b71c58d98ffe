import { chooseByRendezvous } from '../../../shared/chooseByRendezvous.js'
import type { HostEntry } from '../model/hostEntry.js'
import type { Logger } from '../../../types/logger.js'

/** Hosts with at least this share of the cores of the largest host may schedule stage work. */
const largeHostShare = 0.9

/** The hosts that are registered in the store. This host is always among them, with its own current entry. */
export class HostDirectory {
  private readonly others = new Map<string, HostEntry>()

  constructor (private self: HostEntry, private readonly logger: Logger, private readonly onChanged: () => void) {}

  getSelf (): HostEntry {
    return this.self
  }

  updateSelf (entry: HostEntry): void {
    this.self = entry
    this.onChanged()
  }

  applySnapshot (entries: readonly HostEntry[]): void {
    const ids = new Set(entries.map(entry => entry.id))
    for (const id of [...this.others.keys()]) {
      if (!ids.has(id)) this.removeHost(id)
    }
    for (const entry of entries) this.applyEntry(entry)
  }

  applyEntry (entry: HostEntry): void {
    if (entry.id === this.self.id) return
    const known = this.others.get(entry.id)
    this.others.set(entry.id, entry)
    if (known === undefined || known.isReady !== entry.isReady) {
      this.logger.recordInfo('host added or changed', {
        peer: entry.id,
        address: entry.clientAddress,
        isReady: entry.isReady
      })
    }
    this.onChanged()
  }

  removeHost (id: string): void {
    if (!this.others.delete(id)) return
    this.logger.recordInfo('host removed', { peer: id, reason: 'entry removed' })
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
   * Chooses the host that schedules the work of all stage services; this host when none is ready. While two hosts
   * disagree, they fill their calls less, which only costs efficiency.
   */
  chooseScheduler (excludedIds: ReadonlySet<string>): HostEntry {
    const ready = this.listReady().filter(host => !excludedIds.has(host.id))
    // The scheduling work grows with the fleet, so it goes to one of the hosts with the most processor cores.
    const mostCores = Math.max(0, ...ready.map(host => host.cores))
    const candidates = ready.filter(host => host.cores >= mostCores * largeHostShare)
    const [id] = chooseByRendezvous('stage-scheduler', candidates.map(host => host.id), 1)
    return candidates.find(host => host.id === id) ?? this.self
  }
}
