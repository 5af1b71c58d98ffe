/** Minimum interval between removals of work past its deadline. */
const cleanupIntervalMs = 200

/** Long work that no upstream can take yet and that waits at this host, by work id. */
export class DeferredWork {
  private readonly works = new Map<string, { readonly serviceMs: number, readonly deadlineMs: number }>()
  private totalMs = 0
  private lastCleanupMs = 0

  add (workId: string, serviceMs: number, deadlineMs: number): void {
    if (this.works.has(workId)) return
    this.works.set(workId, { serviceMs, deadlineMs })
    this.totalMs += serviceMs
  }

  remove (workId: string): void {
    const work = this.works.get(workId)
    if (work === undefined) return
    this.works.delete(workId)
    this.totalMs = this.works.size === 0 ? 0 : this.totalMs - work.serviceMs
  }

  /** Total predicted service time of the deferred work. */
  computeServiceMs (nowMs: number): number {
    if (nowMs - this.lastCleanupMs >= cleanupIntervalMs) {
      this.lastCleanupMs = nowMs
      for (const [workId, work] of this.works) if (work.deadlineMs <= nowMs) this.remove(workId)
    }
    return this.totalMs
  }
}
