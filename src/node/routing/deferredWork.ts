/** Interval at which work past its deadline is dropped. */
const cleaningIntervalMs = 200

/** Long work that found no room and waits at this host, by work id. */
export class DeferredWork {
  private readonly works = new Map<string, { readonly serviceMs: number, readonly deadlineMs: number }>()
  private totalMs = 0
  private cleanedMs = 0

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

  /** Predicted service time of all parked work. */
  computeServiceMs (nowMs: number): number {
    if (nowMs - this.cleanedMs >= cleaningIntervalMs) {
      this.cleanedMs = nowMs
      for (const [workId, work] of this.works) if (work.deadlineMs <= nowMs) this.remove(workId)
    }
    return this.totalMs
  }
}
