import type { CompareAndSwapResult } from '../../../src/types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../../src/types/keyValueChange.js'
import type { KeyValueEntry } from '../../../src/types/keyValueEntry.js'
import { LeaseTable } from './leaseTable.js'

/**
 * Key-value store with compare-and-swap, leases and watches; no I/O, time is an argument. Versions of
 * a key continue after its deletion, so that a version names one write for good.
 */
export class KeyValueStore {
  /** The last change of every key, deletions included; `last.value` null: the key does not exist. */
  private readonly lastChanges = new Map<string, KeyValueChange>()
  private readonly leases = new LeaseTable()
  private readonly watchers = new Set<(change: KeyValueChange) => void>()
  private history: KeyValueChange[] = []
  private lastRevision = 0

  /** `historyLimit`: number of changes that a watch can replay one by one. */
  constructor (private readonly historyLimit = 20_000) {}

  get revision (): number {
    return this.lastRevision
  }

  readEntry (key: string): KeyValueEntry | undefined {
    const change = this.lastChanges.get(key)
    return change && change.value !== null ? { key, value: change.value, version: change.version } : undefined
  }

  listEntries (prefix: string): readonly KeyValueEntry[] {
    return [...this.lastChanges.keys()]
      .filter(key => key.startsWith(prefix))
      .sort()
      .map(key => this.readEntry(key))
      .filter(entry => entry !== undefined)
  }

  /** Writes when the stored version is `expectedVersion` (0: the key does not exist) and the lease, if any, is held. */
  writeEntry (key: string, expectedVersion: number, value: string, leaseId: string | undefined, nowMs: number): CompareAndSwapResult {
    this.removeExpired(nowMs)
    const stored = this.readEntry(key)?.version ?? 0
    if (stored !== expectedVersion) return { swapped: false, version: stored }
    if (leaseId !== undefined && !this.leases.hasLease(leaseId)) return { swapped: false, version: stored }
    this.leases.setLeaseOfKey(key, leaseId)
    return { swapped: true, version: this.recordChange(key, value) }
  }

  removeEntry (key: string, expectedVersion: number, nowMs: number): CompareAndSwapResult {
    this.removeExpired(nowMs)
    const stored = this.readEntry(key)?.version ?? 0
    if (stored !== expectedVersion) return { swapped: false, version: stored }
    if (stored === 0) return { swapped: true, version: 0 }
    this.leases.setLeaseOfKey(key, undefined)
    return { swapped: true, version: this.recordChange(key, null) }
  }

  grantLease (ttlMs: number, nowMs: number): string {
    return this.leases.grantLease(ttlMs, nowMs)
  }

  hasLease (leaseId: string, nowMs: number): boolean {
    this.removeExpired(nowMs)
    return this.leases.hasLease(leaseId)
  }

  /** Renews a lease for its time to live; false when it has lapsed. */
  updateLease (leaseId: string, nowMs: number): boolean {
    this.removeExpired(nowMs)
    return this.leases.updateLease(leaseId, nowMs)
  }

  /** Ends a lease and removes its keys; false when it has lapsed before. */
  removeLease (leaseId: string, nowMs: number): boolean {
    this.removeExpired(nowMs)
    const held = this.leases.hasLease(leaseId)
    this.removeKeys(this.leases.endLease(leaseId))
    return held
  }

  /** Removes the keys of all leases that have lapsed by `nowMs`. */
  removeExpired (nowMs: number): void {
    for (const leaseId of this.leases.listExpired(nowMs)) this.removeKeys(this.leases.endLease(leaseId))
  }

  /**
   * Changes after `revision` in order. Beyond the history limit only the last change of each key
   * remains, which brings a watcher to the same state.
   */
  listChanges (prefix: string, revision: number): readonly KeyValueChange[] {
    const oldest = this.history[0]?.revision ?? this.lastRevision + 1
    const source = revision + 1 >= oldest ? this.history.slice(Math.max(0, revision + 1 - oldest)) : [...this.lastChanges.values()]
    return source
      .filter(change => change.revision > revision && change.key.startsWith(prefix))
      .sort((a, b) => a.revision - b.revision)
  }

  /** Replays the changes after `revision`, then follows; the returned function ends the watch. */
  watchChanges (prefix: string, revision: number, onChange: (change: KeyValueChange) => void): () => void {
    this.listChanges(prefix, revision).forEach(onChange)
    const watcher = (change: KeyValueChange): void => { if (change.key.startsWith(prefix)) onChange(change) }
    this.watchers.add(watcher)
    return () => { this.watchers.delete(watcher) }
  }

  private removeKeys (keys: readonly string[]): void {
    for (const key of keys) if (this.readEntry(key)) this.recordChange(key, null)
  }

  private recordChange (key: string, value: string | null): number {
    const version = (this.lastChanges.get(key)?.version ?? 0) + 1
    const change = { key, value, version, revision: ++this.lastRevision }
    this.lastChanges.set(key, change)
    this.history.push(change)
    if (this.history.length > this.historyLimit * 2) this.history = this.history.slice(-this.historyLimit)
    for (const watcher of this.watchers) watcher(change)
    return version
  }
}
