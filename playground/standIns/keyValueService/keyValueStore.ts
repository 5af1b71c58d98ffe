import type { CompareAndSwapResult } from '../../../src/types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../../src/types/keyValueChange.js'
import type { KeyValueEntry } from '../../../src/types/keyValueEntry.js'
import { LeaseTable } from './leaseTable.js'

/**
 * Key-value store with compare-and-swap, leases and watches. It does no I/O and takes the time as an
 * argument. The versions of a key continue after its deletion, so that no two writes to it share a version.
 */
export class KeyValueStore {
  /** Last change of each key, deletions included; a null `value` means that the key does not exist. */
  private readonly lastChanges = new Map<string, KeyValueChange>()
  private readonly leases = new LeaseTable()
  private readonly watchers = new Set<(change: KeyValueChange) => void>()
  private history: KeyValueChange[] = []
  private lastRevision = 0

  /** `historyLimit`: minimum number of changes that are kept for replay one by one. */
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

  /** Writes if the stored version equals `expectedVersion` (0: the key does not exist) and the lease, if any, has not expired. */
  writeEntry (key: string, expectedVersion: number, value: string, leaseId: string | undefined, nowMs: number): CompareAndSwapResult {
    this.removeExpired(nowMs)
    const stored = this.readEntry(key)?.version ?? 0
    if (stored !== expectedVersion) return { swapped: false, version: stored }
    if (leaseId !== undefined && !this.leases.hasLease(leaseId)) return { swapped: false, version: stored }
    this.leases.setLeaseOfKey(key, leaseId)
    return { swapped: true, version: this.recordChange(key, value) }
  }

  /** Deletes if the stored version equals `expectedVersion`. */
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

  /** Renews a lease for its time to live; false if it has expired. */
  updateLease (leaseId: string, nowMs: number): boolean {
    this.removeExpired(nowMs)
    return this.leases.updateLease(leaseId, nowMs)
  }

  /** Ends a lease and removes its keys; false if it had expired already. */
  removeLease (leaseId: string, nowMs: number): boolean {
    this.removeExpired(nowMs)
    const wasHeld = this.leases.hasLease(leaseId)
    this.removeKeys(this.leases.endLease(leaseId))
    return wasHeld
  }

  /** Ends all leases that have expired by `nowMs` and removes their keys. */
  removeExpired (nowMs: number): void {
    for (const leaseId of this.leases.listExpired(nowMs)) this.removeKeys(this.leases.endLease(leaseId))
  }

  /**
   * Changes after `revision` in order. For a revision that is older than the history, only the last
   * change of each key is returned, which leads a watcher to the same state.
   */
  listChanges (prefix: string, revision: number): readonly KeyValueChange[] {
    const oldestRevision = this.history[0]?.revision ?? this.lastRevision + 1
    const source = revision + 1 >= oldestRevision ? this.history.slice(Math.max(0, revision + 1 - oldestRevision)) : [...this.lastChanges.values()]
    return source
      .filter(change => change.revision > revision && change.key.startsWith(prefix))
      .sort((a, b) => a.revision - b.revision)
  }

  /** Replays the changes after `revision`, then reports each new one; the returned function ends the watch. */
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
