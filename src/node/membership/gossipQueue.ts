interface QueuedItem<Item> {
  readonly item: Item
  readonly addedAtMs: number
  sends: number
}

/** Queue of items to piggyback on protocol messages. The least sent items go first, and each is sent a limited number of times. */
export class GossipQueue<Item> {
  private readonly items = new Map<string, QueuedItem<Item>>()

  /** Adds `item`, replacing an older one with the same key. */
  add (key: string, item: Item, nowMs: number): void {
    this.items.delete(key)
    this.items.set(key, { item, addedAtMs: nowMs, sends: 0 })
  }

  /** Returns the next `count` items and removes those that have now been sent `maxSends` times. */
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
