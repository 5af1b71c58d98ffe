import type { Clock } from '../../src/types/clock.js'

/** Clock of tests: time passes only when a test lets it, and waiters run in the order of their due times. */
export class VirtualClock implements Clock {
  private nowMs = 0
  private waiters: Array<{ readonly dueMs: number, readonly resolve: () => void }> = []

  /** `epochMs` is the wall time at the start. */
  constructor (private readonly epochMs = 1_800_000_000_000) {}

  readMonotonicMs (): number {
    return this.nowMs
  }

  readWallMs (): number {
    return this.epochMs + this.nowMs
  }

  /** Resolves when `ms` have passed on this clock. */
  readonly wait = (ms: number): Promise<void> => new Promise(resolve => {
    this.waiters.push({ dueMs: this.nowMs + ms, resolve })
  })

  /** Lets `ms` pass; pending promise callbacks run after each waiter. */
  async runFor (ms: number): Promise<void> {
    const endMs = this.nowMs + ms
    await this.runCallbacks()
    for (let next = this.takeNext(endMs); next !== undefined; next = this.takeNext(endMs)) {
      this.nowMs = Math.max(this.nowMs, next.dueMs)
      next.resolve()
      await this.runCallbacks()
    }
    this.nowMs = endMs
  }

  private takeNext (endMs: number): { readonly dueMs: number, readonly resolve: () => void } | undefined {
    const next = this.waiters.reduce<typeof this.waiters[number] | undefined>((best, waiter) => best === undefined || waiter.dueMs < best.dueMs ? waiter : best, undefined)
    if (next === undefined || next.dueMs > endMs) return undefined
    this.waiters = this.waiters.filter(waiter => waiter !== next)
    return next
  }

  private async runCallbacks (): Promise<void> {
    for (let i = 0; i < 5; i++) await new Promise(resolve => setImmediate(resolve))
  }
}
