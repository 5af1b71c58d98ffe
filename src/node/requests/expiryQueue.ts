interface ExpiryItem<Value> {
  readonly value: Value
  readonly addedAtMs: number
}

/**
 * A queue of values with the times at which they were added. Unlike a map from which the oldest entries are deleted,
 * it finds the oldest value in constant time.
 */
export class ExpiryQueue<Value> {
  private items: Array<ExpiryItem<Value> | undefined> = []
  private head = 0

  add (value: Value, addedAtMs: number): void {
    this.items.push({ value, addedAtMs })
  }

  /** Returns the oldest value and the time at which it was added. */
  findOldest (): ExpiryItem<Value> | undefined {
    return this.items[this.head]
  }

  removeOldest (): void {
    if (this.head >= this.items.length) return
    this.items[this.head++] = undefined
    if (this.head < 1024 || this.head * 2 < this.items.length) return
    this.items = this.items.slice(this.head)
    this.head = 0
  }
}
