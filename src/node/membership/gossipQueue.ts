interface QueuedItem<Item> {
  readonly item: Item
  readonly addedAtMs: number
  sends: number
}

/** News that ride on messages; the least sent go first, and each is sent a bounded number of times. */
export class GossipQueue<Item> {
  private readonly items = new Map<string, QueuedItem<Item>>()

  /** Puts `item` in the place of an older one with the same key. */
  add (key: string, item: Item, nowMs: number): void {
    this.items.delete(key)
    this.items.set(key, { item, addedAtMs: nowMs, sends: 0 })
  }

  /** The next `count` items; an item leaves the queue after `maxSends`. */
  take (count: number, maxSends: number): readonly Item[] {
    const chosen = [...this.items].sort((a, b) => a[1].sends - b[1].sends).slice(0, count)
    for (const [key, entry] of chosen) {
      entry.sends++
      if (entry.sends >= maxSends) this.items.delete(key)
    }
    return chosen.map(([, entry]) => entry.item)
  }

  removeOlderThan (beforeMs: number): void {
    for (const [key, entry] of this.items) if (entry.addedAtMs < beforeMs) this.items.delete(key)
  }

  get size (): number {
    return this.items.size
  }
}
