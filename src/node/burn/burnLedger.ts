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
 * Memory is bounded: 396 bytes of counters for each active account and kind, causes only for those that
 * missed requests, and both limited in number. Measured with 7,300 accounts of 4 kinds all active within
 * six hours: 16.9 MB, 580 bytes for each account and kind with its keys; 20.3 MB when all of them miss.
 * All times are milliseconds since the epoch.
 */
export class BurnLedger {
  /** In the order of their last requests. */
  private readonly entries = new Map<string, LedgerEntry>()
  /** In the order of their last missed requests. */
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
    // Reading the oldest entry skips the places of moved ones, which is too slow for every request.
    if (sample.atMs >= this.idleCheckAtMs) this.removeIdle(sample.atMs)
  }

  /** Counters of this host; entries with the fewest missed requests are left out beyond the size limit. */
  createSnapshot (hostId: string, findObjective: FindObjective, nowMs: number): BurnSnapshot {
    this.removeIdle(nowMs)
    const all = [...this.entries].map(([key, entry]) => ({ key, record: entry.recordIndex, lastHour: this.getRings(entry).countRing(burnConstants.plotRingIndex, nowMs) }))
    const kept = all.sort((a, b) => compareMissed(a.lastHour, b.lastHour)).slice(0, burnConstants.maximumSnapshotEntries)
    const entries = kept.map(({ key, record }) => this.createEntry(key, record, findObjective, nowMs))
    return { atMs: nowMs, hostIds: [hostId], entries, omittedEntries: all.length - kept.length }
  }

  /** Accounts times kinds with requests in the last six hours. */
  countEntries (): number {
    return this.entries.size
  }

  private createEntry (key: string, record: number, findObjective: FindObjective, nowMs: number): BurnSnapshotEntry {
    const [account, kind] = key.split(separator) as [string, string]
    const rings = new BurnRings(this.pages.getCounters(record))
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

  /** Takes the entry out of the order of use; the caller puts it back at the end. */
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
