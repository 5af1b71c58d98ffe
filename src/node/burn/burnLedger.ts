import { burnConstants } from './constants.js'
import { BurnRings } from './burnRings.js'
import { CauseTable } from './causeTable.js'
import { compareMissed } from './compareMissed.js'
import { CounterPages } from './counterPages.js'
import type { BurnCauses } from './burnCauses.js'
import type { BurnSnapshot } from './burnSnapshot.js'
import type { BurnSnapshotEntry } from './burnSnapshotEntry.js'
import type { BurnWindowName } from './burnWindowName.js'
import type { Objective } from '../../types/objective.js'
import type { RequestSample } from '../../types/requestSample.js'

interface LedgerEntry {
  readonly recordIndex: number
  lastAtMs: number
}

type FindObjective = (account: string, kind: string) => Objective | undefined

const noCauses: BurnCauses = { codes: [], stages: [], upstreams: [] }
const separator = '\n'

/**
 * Counts finished and refused requests by account and kind in windows of 5 minutes, 1 hour and 6 hours.
 * Memory is bounded: an entry, one account and kind, has 396 bytes of counters; only entries with missed requests have
 * causes; and the number of both is limited. 7,300 accounts of 4 kinds that are all active within six hours take
 * 16.9 MB (580 bytes per entry with its key), or 20.3 MB if all of them have missed requests.
 * All times are milliseconds since the epoch.
 */
export class BurnLedger {
  /** Entries by account and kind, least recently used first. */
  private readonly entries = new Map<string, LedgerEntry>()
  /** Causes by account and kind; the entry whose last missed request is the oldest comes first. */
  private readonly causes = new Map<string, CauseTable>()
  private idleCheckAtMs = 0
  private readonly pages = new CounterPages(BurnRings.recordWords)

  observe (sample: RequestSample): void {
    const key = sample.account + separator + sample.kind
    const entry = this.takeEntry(key)
    const isExcluded = sample.code !== undefined && burnConstants.excludedCodes.includes(sample.code)
    const outcome = isExcluded ? 'excluded' : sample.attained ? 'attained' : 'missed'
    new BurnRings(this.pages.getCounters(entry.recordIndex)).observe(outcome, sample.atMs)
    entry.lastAtMs = Math.max(entry.lastAtMs, sample.atMs)
    this.entries.set(key, entry)
    if (outcome === 'missed') this.observeCause(key, sample)
    // Reading the first key of the map skips the slots of deleted keys, which is too slow for every request.
    if (sample.atMs >= this.idleCheckAtMs) this.removeIdle(sample.atMs)
  }

  /** Returns the counters of this host. Above the size limit, the entries with the fewest missed requests are omitted. */
  createSnapshot (hostId: string, findObjective: FindObjective, nowMs: number): BurnSnapshot {
    this.removeIdle(nowMs)
    const all = [...this.entries].map(([key, entry]) => ({ key, recordIndex: entry.recordIndex, lastHour: this.getRings(entry).countRing(burnConstants.plotRingIndex, nowMs) }))
    const kept = all.sort((a, b) => compareMissed(a.lastHour, b.lastHour)).slice(0, burnConstants.maximumSnapshotEntries)
    const entries = kept.map(({ key, recordIndex }) => this.createEntry(key, recordIndex, findObjective, nowMs))
    return { atMs: nowMs, hostIds: [hostId], entries, omittedEntries: all.length - kept.length }
  }

  /** Number of entries, pairs of account and kind, that are currently kept. */
  countEntries (): number {
    return this.entries.size
  }

  private createEntry (key: string, recordIndex: number, findObjective: FindObjective, nowMs: number): BurnSnapshotEntry {
    const [account, kind] = key.split(separator) as [string, string]
    const rings = new BurnRings(this.pages.getCounters(recordIndex))
    const windows = burnConstants.rings.map((ring, i) => [ring.window, rings.countRing(i, nowMs)])
    return {
      account,
      kind,
      objective: findObjective(account, kind) ?? null,
      windows: Object.fromEntries(windows) as Record<BurnWindowName, ReturnType<BurnRings['countRing']>>,
      causes: this.causes.get(key)?.list(nowMs) ?? noCauses,
      points: rings.listPoints(burnConstants.plotRingIndex, nowMs)
    }
  }

  /** Removes the entry of `key` from the map, or creates one. The caller adds it again as the most recently used. */
  private takeEntry (key: string): LedgerEntry {
    const found = this.entries.get(key)
    if (found !== undefined) {
      this.entries.delete(key)
      return found
    }
    if (this.entries.size >= burnConstants.maximumEntries) this.removeEntry(this.entries.keys().next().value!)
    return { recordIndex: this.pages.takeRecord(), lastAtMs: 0 }
  }

  private observeCause (key: string, sample: RequestSample): void {
    const table = this.causes.get(key) ?? new CauseTable()
    this.causes.delete(key)
    this.causes.set(key, table)
    table.observe(sample)
    if (this.causes.size > burnConstants.maximumCauseEntries) this.causes.delete(this.causes.keys().next().value!)
  }

  private removeIdle (nowMs: number): void {
    this.idleCheckAtMs = nowMs + burnConstants.idleCheckMs
    for (const [key, entry] of this.entries) {
      if (entry.lastAtMs >= nowMs - burnConstants.entryIdleMs) return
      this.removeEntry(key)
    }
  }

  private removeEntry (key: string): void {
    this.pages.releaseRecord(this.entries.get(key)!.recordIndex)
    this.entries.delete(key)
    this.causes.delete(key)
  }

  private getRings (entry: LedgerEntry): BurnRings {
    return new BurnRings(this.pages.getCounters(entry.recordIndex))
  }
}
