/** Counting semaphore: at most `slots` callers hold a slot at a time, the others wait in first-in, first-out order. */
export class SlotQueue {
  private readonly waiters: (() => void)[] = []
  private runningCount = 0

  constructor (readonly slots: number) {}

  get running (): number {
    return this.runningCount
  }

  get waiting (): number {
    return this.waiters.length
  }

  /** Resolves when the caller has a slot; `releaseSlot` returns it. */
  async takeSlot (): Promise<void> {
    if (this.runningCount < this.slots) {
      this.runningCount++
      return
    }
    await new Promise<void>(resolve => this.waiters.push(resolve))
  }

  releaseSlot (): void {
    const next = this.waiters.shift()
    if (next) next()
    else this.runningCount--
  }
}
