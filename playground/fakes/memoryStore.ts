import { StoreUncertainError } from '../../src/shared/storeUncertainError.js'
import { StoreUnavailableError } from '../../src/shared/storeUnavailableError.js'
import type { StoreClient } from '../../src/node/gateway/model/storeClient.js'
import type { StoreItem } from '../../src/node/gateway/model/storeItem.js'
import type { StoreLease } from '../../src/node/gateway/model/storeLease.js'
import type { StorePosition } from '../../src/node/gateway/model/storePosition.js'
import type { StoreWrite } from '../../src/node/gateway/model/storeWrite.js'

/** Store in memory for tests without a network; leases never end, and nothing can be watched. */
export class MemoryStore implements StoreClient {
  isDown = false
  /** Whether writes get no answer and are done only by `applyLateWrites`. */
  isLate = false
  /** Whether writes are neither done nor answered. */
  isSilent = false
  era = 1
  writeCount = 0
  private readonly items = new Map<string, StoreItem>()
  private revision = 1
  private lateWrites: StoreWrite[] = []

  async readItem (key: string): Promise<StoreItem | undefined> {
    this.checkUp()
    return this.items.get(key)
  }

  async readPrefix (prefix: string): Promise<{ readonly items: readonly StoreItem[], readonly position: StorePosition }> {
    this.checkUp()
    const items = [...this.items.values()].filter(item => item.key.startsWith(prefix))
    return { items, position: { era: this.era, revision: this.revision } }
  }

  async watchPrefix (): Promise<never> {
    throw new StoreUnavailableError('nothing can be watched')
  }

  async writeConditionally (write: StoreWrite): Promise<boolean> {
    this.checkUp()
    if (this.isSilent) return await new Promise(() => {})
    if (!this.isLate) return this.applyWrite(write)
    this.lateWrites.push(write)
    throw new StoreUncertainError('no answer')
  }

  applyLateWrites (): void {
    for (const write of this.lateWrites.splice(0)) this.applyWrite(write)
  }

  private applyWrite ({ conditions, writes, removals }: StoreWrite): boolean {
    if (conditions.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return false
    this.writeCount++
    for (const { key, value } of writes) this.items.set(key, { key, value, revision: ++this.revision })
    for (const key of removals) this.items.delete(key)
    return true
  }

  async createLease (): Promise<StoreLease> {
    this.checkUp()
    return { id: 1, era: this.era }
  }

  async updateLease (): Promise<boolean> {
    return true
  }

  async closeLease (): Promise<void> {}

  listItems (): readonly StoreItem[] {
    return [...this.items.values()]
  }

  /** Goes back to a time at which it held only the keys with this prefix. */
  applyRestore (prefix: string): void {
    this.era++
    for (const key of this.items.keys()) {
      if (!key.startsWith(prefix)) this.items.delete(key)
    }
  }

  /** Goes back to the items of an earlier time; revisions are given out again. */
  applyCopy (items: readonly StoreItem[]): void {
    this.era++
    this.items.clear()
    for (const item of items) this.items.set(item.key, item)
    this.revision = Math.max(1, ...items.map(({ revision }) => revision))
  }

  private checkUp (): void {
    if (this.isDown) throw new StoreUnavailableError('the store is down')
  }
}
