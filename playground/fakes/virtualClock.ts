import type { Clock } from '../../src/types/clock.js'
import type { Scheduler } from '../../src/types/scheduler.js'

interface ScheduledCall {
  readonly dueMs: number
  readonly sequence: number
  readonly run: () => void
  isCancelled: boolean
}

/** Clock and scheduler with virtual time for tests: scheduled calls run in order of their time, and pending promises settle in between. */
export class VirtualClock implements Clock, Scheduler {
  private readonly heap: ScheduledCall[] = []
  private nowMs = 0
  private nextSequence = 0

  readMonotonicMs (): number {
    return this.nowMs
  }

  readWallMs (): number {
    return 1_700_000_000_000 + this.nowMs
  }

  /** Resolves when `ms` have passed on this clock. */
  readonly wait = (ms: number): Promise<void> => new Promise(resolve => { this.schedule(ms, resolve) })

  schedule (delayMs: number, run: () => void): () => void {
    const entry = { dueMs: this.nowMs + Math.max(0, delayMs), sequence: this.nextSequence++, run, isCancelled: false }
    this.addEntry(entry)
    return () => { entry.isCancelled = true }
  }

  /** Advances the time by `ms` and runs the calls that are due. */
  async runFor (ms: number): Promise<void> {
    const endMs = this.nowMs + ms
    await waitForPromises()
    for (let next = this.heap[0]; next && next.dueMs <= endMs; next = this.heap[0]) {
      this.removeFirst()
      if (next.isCancelled) continue
      this.nowMs = next.dueMs
      next.run()
      await waitForPromises()
    }
    this.nowMs = endMs
  }

  private addEntry (entry: ScheduledCall): void {
    let i = this.heap.push(entry) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!isBefore(entry, this.heap[parent] as ScheduledCall)) break
      this.heap[i] = this.heap[parent] as ScheduledCall
      i = parent
    }
    this.heap[i] = entry
  }

  private removeFirst (): void {
    const last = this.heap.pop() as ScheduledCall
    if (this.heap.length === 0) return
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= this.heap.length) break
      if (child + 1 < this.heap.length && isBefore(this.heap[child + 1] as ScheduledCall, this.heap[child] as ScheduledCall)) child++
      if (!isBefore(this.heap[child] as ScheduledCall, last)) break
      this.heap[i] = this.heap[child] as ScheduledCall
      i = child
    }
    this.heap[i] = last
  }
}

function isBefore (a: ScheduledCall, b: ScheduledCall): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.sequence < b.sequence)
}

// Chains of resolved promises settle before the event loop runs the immediate.
async function waitForPromises (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}
