import { KeyValueUnavailableError } from '../../src/shared/keyValueUnavailableError.js'
import type { CompareAndSwapResult } from '../../src/types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../src/types/keyValueChange.js'
import type { KeyValueEntry } from '../../src/types/keyValueEntry.js'
import type { KeyValueService } from '../../src/types/keyValueService.js'
import type { Scheduler } from '../../src/types/scheduler.js'
import type { MemoryKeyValueService } from './memoryKeyValueService.js'

/**
 * Connection of one host to the in-memory key-value service under virtual time. It can be cut, and single
 * changes can be lost. Its watches send heartbeats and, after an interruption, resume after the last revision received.
 */
export class HostKeyValueService implements KeyValueService {
  /** While true, calls fail and watches receive nothing. */
  isCut = false
  /** Returns true for a change that watches do not deliver. */
  isChangeLost: (change: KeyValueChange) => boolean = () => false

  constructor (private readonly service: MemoryKeyValueService, private readonly scheduler: Scheduler) {}

  async read (key: string): Promise<KeyValueEntry | undefined> {
    await this.waitForConnection()
    return await this.service.read(key)
  }

  async list (prefix: string): Promise<{ readonly entries: readonly KeyValueEntry[], readonly revision: number }> {
    await this.waitForConnection()
    return await this.service.list(prefix)
  }

  async compareAndSwap (key: string, expectedVersion: number, value: string, leaseId?: string): Promise<CompareAndSwapResult> {
    await this.waitForConnection()
    return await this.service.compareAndSwap(key, expectedVersion, value, leaseId)
  }

  async remove (key: string, expectedVersion: number): Promise<CompareAndSwapResult> {
    await this.waitForConnection()
    return await this.service.remove(key, expectedVersion)
  }

  async grantLease (): Promise<string> {
    await this.waitForConnection()
    return await this.service.grantLease()
  }

  async updateLease (leaseId: string): Promise<boolean> {
    await this.waitForConnection()
    return await this.service.updateLease(leaseId)
  }

  async removeLease (leaseId: string): Promise<void> {
    await this.waitForConnection()
    await this.service.removeLease(leaseId)
  }

  watch (prefix: string, revision: number, onChange: (change: KeyValueChange) => void, signal: AbortSignal, onAlive?: () => void): void {
    const firstWatch = new AbortController()
    let lastRevision = revision
    let isBroken = false
    const receive = (change: KeyValueChange): void => {
      if (this.isCut || this.service.outage) { isBroken = true; return }
      this.scheduler.schedule(1, () => {
        if (signal.aborted || change.revision <= lastRevision) return
        lastRevision = change.revision
        if (!this.isChangeLost(change)) onChange(change)
      })
    }
    let currentWatch = firstWatch
    const reopen = (): void => {
      currentWatch.abort()
      currentWatch = new AbortController()
      this.service.watch(prefix, lastRevision, receive, currentWatch.signal)
    }
    const checkConnection = (): void => {
      if (signal.aborted) { currentWatch.abort(); return }
      this.scheduler.schedule(1000, checkConnection)
      if (this.isCut || this.service.outage) { isBroken = true; return }
      if (isBroken) { isBroken = false; reopen(); return }
      onAlive?.()
    }
    reopen()
    this.scheduler.schedule(1000, checkConnection)
  }

  // Waits for the latency of the network, 1 ms, and fails if the connection is cut.
  private async waitForConnection (): Promise<void> {
    await new Promise<void>(resolve => { this.scheduler.schedule(1, resolve) })
    if (this.isCut) throw new KeyValueUnavailableError('the host is cut off from the key-value service')
  }
}
