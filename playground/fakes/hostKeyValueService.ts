import { KeyValueUnavailableError } from '../../src/shared/keyValueUnavailableError.js'
import type { CompareAndSwapResult } from '../../src/types/compareAndSwapResult.js'
import type { KeyValueChange } from '../../src/types/keyValueChange.js'
import type { KeyValueEntry } from '../../src/types/keyValueEntry.js'
import type { KeyValueService } from '../../src/types/keyValueService.js'
import type { Scheduler } from '../../src/types/scheduler.js'
import type { MemoryKeyValueService } from './memoryKeyValueService.js'

/**
 * One host's link to the in-memory key-value service under virtual time: it can be cut, its watches send
 * heartbeats and go on after the last revision seen, and single changes can be lost on the way.
 */
export class HostKeyValueService implements KeyValueService {
  isCut = false
  /** True for a change that the watch leaves out. */
  isChangeLost: (change: KeyValueChange) => boolean = () => false

  constructor (private readonly service: MemoryKeyValueService, private readonly scheduler: Scheduler) {}

  async read (key: string): Promise<KeyValueEntry | undefined> {
    await this.waitForLink()
    return await this.service.read(key)
  }

  async list (prefix: string): Promise<{ readonly entries: readonly KeyValueEntry[], readonly revision: number }> {
    await this.waitForLink()
    return await this.service.list(prefix)
  }

  async compareAndSwap (key: string, expectedVersion: number, value: string, leaseId?: string): Promise<CompareAndSwapResult> {
    await this.waitForLink()
    return await this.service.compareAndSwap(key, expectedVersion, value, leaseId)
  }

  async remove (key: string, expectedVersion: number): Promise<CompareAndSwapResult> {
    await this.waitForLink()
    return await this.service.remove(key, expectedVersion)
  }

  async grantLease (): Promise<string> {
    await this.waitForLink()
    return await this.service.grantLease()
  }

  async updateLease (leaseId: string): Promise<boolean> {
    await this.waitForLink()
    return await this.service.updateLease(leaseId)
  }

  async removeLease (leaseId: string): Promise<void> {
    await this.waitForLink()
    await this.service.removeLease(leaseId)
  }

  watch (prefix: string, revision: number, onChange: (change: KeyValueChange) => void, signal: AbortSignal, onAlive?: () => void): void {
    const link = new AbortController()
    let seen = revision
    let isBroken = false
    const receive = (change: KeyValueChange): void => {
      if (this.isCut || this.service.outage) { isBroken = true; return }
      this.scheduler.schedule(1, () => {
        if (signal.aborted || change.revision <= seen) return
        seen = change.revision
        if (!this.isChangeLost(change)) onChange(change)
      })
    }
    let open = link
    const reopen = (): void => {
      open.abort()
      open = new AbortController()
      this.service.watch(prefix, seen, receive, open.signal)
    }
    const beat = (): void => {
      if (signal.aborted) { open.abort(); return }
      this.scheduler.schedule(1000, beat)
      if (this.isCut || this.service.outage) { isBroken = true; return }
      if (isBroken) { isBroken = false; reopen(); return }
      onAlive?.()
    }
    reopen()
    this.scheduler.schedule(1000, beat)
  }

  private async waitForLink (): Promise<void> {
    await new Promise<void>(resolve => { this.scheduler.schedule(1, resolve) })
    if (this.isCut) throw new KeyValueUnavailableError('the host is cut from the key-value service')
  }
}
