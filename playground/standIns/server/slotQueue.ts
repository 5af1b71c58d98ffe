/** Runs at most `slots` pieces of work at a time; the rest waits first in, first out. */
export class SlotQueue {
  private readonly waitingWork: (() => void)[] = []
  private runningCount = 0

  constructor (readonly slots: number) {}

  get running (): number {
    return this.runningCount
  }

  get waiting (): number {
    return this.waitingWork.length
  }

  /** Resolves when the piece of work has a slot; `closeSlot` gives the slot back. */
  async takeSlot (): Promise<void> {
    if (this.runningCount < this.slots) {
      this.runningCount++
      return
    }
    await new Promise<void>(resolve => this.waitingWork.push(resolve))
  }

  releaseSlot (): void {
    const next = this.waitingWork.shift()
    if (next) next()
    else this.runningCount--
  }
}
