import { storeConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'
import type { Logger } from '../../../types/logger.js'
import type { Scheduler } from '../../../types/scheduler.js'
import type { SnapshotCause } from './snapshotCause.js'
import type { StoreChange } from '../model/storeChange.js'
import type { StoreItem } from '../model/storeItem.js'
import type { StoreSection } from './storeSection.js'

interface FilterOptions {
  readonly section: StoreSection
  /**
   * Time after a restore within which owners that live have written their items, and those of others have ended.
   * Undefined for items without a lease: an outdated one is held until it is written again or removed.
   */
  readonly getHoldMs: () => number | undefined
  readonly clock: Clock
  readonly timers: Scheduler
  readonly logger: Logger
}

interface PastValue {
  readonly value: Buffer
  readonly endedAtMs: number
}

/**
 * Keeps items of a restored store from a section when their values were replaced or removed before the restore: an upstream
 * that has left stands there as ready. The section keeps what it knows until the owner writes the item again, or until the
 * item has lasted longer than that of an owner that is gone. Answers the load of a restore while upstreams and hosts leave.
 */
export class OutdatedItemFilter implements StoreSection {
  readonly prefix: string
  private readonly current = new Map<string, StoreItem>()
  /** Values that the items had before, by key, the key that changed longest ago first. */
  private readonly past = new Map<string, readonly PastValue[]>()
  /** Outdated items of the restored store. */
  private readonly held = new Map<string, StoreItem>()
  private cancelRelease: (() => void) | undefined

  constructor (private readonly options: FilterOptions) {
    this.prefix = options.section.prefix
  }

  onSnapshot (items: readonly StoreItem[], cause: SnapshotCause): void {
    if (cause === 'restore') this.updateHeld(items)
    else this.releaseRewritten(items)
    const visible = items.flatMap(item => this.held.has(item.key) ? this.current.get(item.key) ?? [] : item)
    const keys = new Set(visible.map(item => item.key))
    for (const key of [...this.current.keys()]) {
      if (!keys.has(key)) this.removeCurrent(key)
    }
    for (const item of visible) this.setCurrent(item)
    this.options.section.onSnapshot(visible, cause)
  }

  onChange (change: StoreChange): void {
    const key = change.type === 'written' ? change.item.key : change.key
    this.held.delete(key)
    if (change.type === 'written') this.setCurrent(change.item)
    else this.removeCurrent(key)
    this.options.section.onChange(change)
  }

  stop (): void {
    this.cancelRelease?.()
  }

  private updateHeld (items: readonly StoreItem[]): void {
    this.held.clear()
    for (const item of items) {
      if (this.isOutdated(item)) this.held.set(item.key, item)
    }
    this.cancelRelease?.()
    if (this.held.size === 0) return
    const { logger, timers, getHoldMs } = this.options
    const heldForMs = getHoldMs()
    logger.recordWarning('outdated entries in the restored store', {
      prefix: this.prefix,
      count: this.held.size,
      keys: [...this.held.keys()].slice(0, storeConstants.maxLoggedKeys).join(' '),
      heldForMs
    })
    if (heldForMs !== undefined) this.cancelRelease = timers.schedule(heldForMs, () => { this.releaseAll() })
  }

  /** Within one era, a later revision shows that the owner has written its item again. */
  private releaseRewritten (items: readonly StoreItem[]): void {
    const revisions = new Map(items.map(item => [item.key, item.revision]))
    for (const [key, { revision }] of this.held) {
      if (revisions.get(key) !== revision) this.held.delete(key)
    }
  }

  private releaseAll (): void {
    for (const item of [...this.held.values()]) {
      this.options.logger.recordInfo('outdated entry has lasted', { key: item.key, outcome: 'used as it stands' })
      this.onChange({ type: 'written', item })
    }
  }

  private isOutdated ({ key, value }: StoreItem): boolean {
    if (this.current.get(key)?.value.equals(value) === true) return false
    const oldestMs = this.options.clock.readMonotonicMs() - storeConstants.pastValueMs
    return (this.past.get(key) ?? []).some(other => other.endedAtMs >= oldestMs && other.value.equals(value))
  }

  private setCurrent (item: StoreItem): void {
    const known = this.current.get(item.key)
    if (known !== undefined && !known.value.equals(item.value)) this.addPastValue(known)
    this.current.set(item.key, item)
  }

  private removeCurrent (key: string): void {
    const known = this.current.get(key)
    if (known === undefined) return
    this.addPastValue(known)
    this.current.delete(key)
  }

  private addPastValue ({ key, value }: StoreItem): void {
    const { pastValueMs, maxPastValuesPerKey, maxPastKeys } = storeConstants
    const nowMs = this.options.clock.readMonotonicMs()
    const values = (this.past.get(key) ?? []).filter(other => other.endedAtMs >= nowMs - pastValueMs)
    this.past.delete(key)
    this.past.set(key, [...values, { value, endedAtMs: nowMs }].slice(-maxPastValuesPerKey))
    for (const [oldKey, oldValues] of this.past) {
      if (this.past.size <= maxPastKeys && oldValues.at(-1)!.endedAtMs >= nowMs - pastValueMs) break
      this.past.delete(oldKey)
    }
  }
}
