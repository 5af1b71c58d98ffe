import { KeyValueUnavailableError } from '../../src/shared/keyValueUnavailableError.js'
import { KeyValueUncertainError } from '../../src/shared/keyValueUncertainError.js'
import type { CompareAndSwapResult } from '../../src/types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../src/types/keyValueChange.js'
import type { KeyValueEntry } from '../../src/types/keyValueEntry.js'
import type { KeyValueService } from '../../src/types/keyValueService.js'

/** In-memory key-value service for tests, with simulated outages and lost responses of writes. */
export class MemoryKeyValueService implements KeyValueService {
  private readonly entries = new Map<string, KeyValueEntry>()
  private readonly versions = new Map<string, number>()
  private readonly changeLog: KeyValueChange[] = []
  private readonly watchers = new Set<(change: KeyValueChange) => void>()
  private readonly leases = new Map<string, string[]>()
  private leaseCount = 0
  /** While true, calls fail and watches receive nothing. */
  outage = false
  /** Returns true for a key whose writes take effect, but fail as uncertain because the response is lost. */
  isAnswerLost: (key: string) => boolean = () => false
  /** Called before each write takes effect; tests use it to order concurrent writers. */
  beforeWrite: (key: string) => Promise<void> = async () => {}
  /** Number of calls of all methods except `removeLease` and `watch`. */
  callCount = 0

  async read (key: string): Promise<KeyValueEntry | undefined> {
    this.countCall()
    return this.entries.get(key)
  }

  async list (prefix: string): Promise<{ entries: readonly KeyValueEntry[], revision: number }> {
    this.countCall()
    return { entries: [...this.entries.values()].filter(entry => entry.key.startsWith(prefix)), revision: this.changeLog.length }
  }

  async compareAndSwap (key: string, expectedVersion: number, value: string, leaseId?: string): Promise<CompareAndSwapResult> {
    this.countCall()
    await this.beforeWrite(key)
    const stored = this.entries.get(key)?.version ?? 0
    if (stored !== expectedVersion) return { swapped: false, version: stored }
    const version = (this.versions.get(key) ?? 0) + 1
    this.entries.set(key, { key, value, version })
    if (leaseId !== undefined) this.leases.get(leaseId)?.push(key)
    this.recordChange(key, value, version)
    if (this.isAnswerLost(key)) throw new KeyValueUncertainError(`the response of the write to ${key} was lost`)
    return { swapped: true, version }
  }

  async remove (key: string, expectedVersion: number): Promise<CompareAndSwapResult> {
    this.countCall()
    const stored = this.entries.get(key)?.version ?? 0
    if (stored !== expectedVersion) return { swapped: false, version: stored }
    this.entries.delete(key)
    this.recordChange(key, null, stored + 1)
    return { swapped: true, version: stored + 1 }
  }

  async grantLease (): Promise<string> {
    this.countCall()
    const leaseId = `lease-${++this.leaseCount}`
    this.leases.set(leaseId, [])
    return leaseId
  }

  async updateLease (leaseId: string): Promise<boolean> {
    this.countCall()
    return this.leases.has(leaseId)
  }

  /** Removes the lease and its keys; tests also call it to simulate the expiry of a lease. */
  async removeLease (leaseId: string): Promise<void> {
    for (const key of this.leases.get(leaseId) ?? []) {
      const entry = this.entries.get(key)
      this.entries.delete(key)
      if (entry) this.recordChange(key, null, entry.version + 1)
    }
    this.leases.delete(leaseId)
  }

  watch (prefix: string, revision: number, onChange: (change: KeyValueChange) => void, signal: AbortSignal): void {
    const send = (change: KeyValueChange): void => { if (change.key.startsWith(prefix) && !this.outage) onChange(change) }
    this.changeLog.slice(revision).forEach(send)
    this.watchers.add(send)
    signal.addEventListener('abort', () => this.watchers.delete(send))
  }

  private recordChange (key: string, value: string | null, version: number): void {
    this.versions.set(key, version)
    const change = { key, value, version, revision: this.changeLog.length + 1 }
    this.changeLog.push(change)
    for (const send of this.watchers) send(change)
  }

  private countCall (): void {
    this.callCount++
    if (this.outage) throw new KeyValueUnavailableError('the key-value service is unavailable')
  }
}
