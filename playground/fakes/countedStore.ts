import { StoreUnavailableError } from '../../src/shared/storeUnavailableError.js'
import type { StoreChange } from '../../src/node/gateway/model/storeChange.js'
import type { StoreClient } from '../../src/node/gateway/model/storeClient.js'
import type { StoreItem } from '../../src/node/gateway/model/storeItem.js'
import type { StoreLease } from '../../src/node/gateway/model/storeLease.js'
import type { StorePosition } from '../../src/node/gateway/model/storePosition.js'
import type { StoreWrite } from '../../src/node/gateway/model/storeWrite.js'

interface CountedItem extends StoreItem {
  readonly leaseId: number | undefined
}

/** A store in memory, in the time of `setTimeout`, that counts its calls. Leases end only when they are closed. */
export class CountedStore {
  /** Refuses all calls, which count as well, and ends the waiting watches. */
  isDown = false
  readonly counts = new Map<string, number>()
  private readonly items = new Map<string, CountedItem>()
  private readonly changes: Array<StoreChange & { readonly revision: number }> = []
  private readonly watchers = new Set<() => void>()
  private revision = 1
  private leaseCount = 0

  /** Creates the access of one part, under whose name its calls are counted. */
  createClient (part: string): StoreClient {
    const count = (call: string): void => {
      const name = `${part} ${call}`
      this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
      if (this.isDown) throw new StoreUnavailableError('the store is down')
    }
    return {
      readItem: async key => { count('read'); return this.items.get(key) },
      readPrefix: async prefix => {
        count('read')
        const items = [...this.items.values()].filter(item => item.key.startsWith(prefix))
        return { items, position: { era: 1, revision: this.revision } }
      },
      watchPrefix: async (_, after, waitMs, signal) => {
        count('watch')
        return await this.waitForChanges(after, waitMs, signal)
      },
      writeConditionally: async write => { count('write'); return this.applyWrite(write) },
      createLease: async () => { count('lease'); return { id: ++this.leaseCount, era: 1 } },
      updateLease: async () => { count('renewal'); return true },
      closeLease: async lease => { count('lease end'); this.endLease(lease) }
    }
  }

  write (key: string, text: string, leaseId?: number): void {
    const item = { key, value: Buffer.from(text), revision: ++this.revision, leaseId }
    this.items.set(key, item)
    this.addChange({ type: 'written', item })
  }

  remove (key: string): void {
    if (this.items.delete(key)) this.addChange({ type: 'removed', key, revision: ++this.revision })
  }

  setDown (isDown: boolean): void {
    this.isDown = isDown
    for (const notify of [...this.watchers]) notify()
  }

  private addChange (change: StoreChange): void {
    this.changes.push({ ...change, revision: this.revision })
    for (const notify of [...this.watchers]) notify()
  }

  private applyWrite ({ writes, removals }: StoreWrite): boolean {
    for (const { key, value, lease } of writes) this.write(key, value.toString(), lease?.id)
    for (const key of removals) this.remove(key)
    return true
  }

  private endLease ({ id }: StoreLease): void {
    for (const item of [...this.items.values()]) if (item.leaseId === id) this.remove(item.key)
  }

  private async waitForChanges (
    after: StorePosition,
    waitMs: number,
    signal: AbortSignal
  ): Promise<{ readonly changes: readonly StoreChange[], readonly position: StorePosition }> {
    const listChanges = (): readonly StoreChange[] => this.changes.slice(this.changes.findIndex(({ revision }) => revision > after.revision))
    if (this.revision === after.revision) {
      await new Promise<void>(resolve => {
        const end = (): void => {
          clearTimeout(timer)
          this.watchers.delete(end)
          signal.removeEventListener('abort', end)
          resolve()
        }
        const timer = setTimeout(end, waitMs)
        this.watchers.add(end)
        signal.addEventListener('abort', end)
      })
    }
    if (this.isDown || signal.aborted) throw new StoreUnavailableError('the watch was ended')
    return { changes: this.revision === after.revision ? [] : listChanges(), position: { era: 1, revision: this.revision } }
  }
}
