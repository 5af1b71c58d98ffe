import type { EventQueue } from './eventQueue.js'
import type { Job } from './job.js'
import type { PoolSpec } from './poolSpec.js'

/** Share of the prefill that is left when the prefix is cached. */
const cachedShare = 0.25
/** Number of prefixes that fit in the cache. */
const cacheSize = 40

/** Simulates an upstream: slots with continuous batching, a queue by priority, a prefix cache and a speed. */
export class UpstreamModel {
  readonly running: Job[] = []
  readonly waiting: Job[] = []
  lost = false
  private speed = 1
  private work = 0
  private updatedMs = 0
  private generation = 0
  private readonly cache = new Map<string, true>()

  constructor (
    readonly id: string,
    readonly pool: PoolSpec,
    readonly failureDomain: string,
    private readonly queue: EventQueue,
    private readonly onCacheEvent: (type: 'stored' | 'evicted', prefixHash: string) => void
  ) {}

  setSpeed (speed: number): void {
    this.updateWork()
    this.speed = speed
    this.scheduleEnd()
  }

  /** Computes the time that one millisecond of work takes with `running` streams in the batch. */
  computeSlowdown (running: number): number {
    return (1 + this.pool.batchSlope * Math.min(running / this.pool.slots, 1)) / this.speed
  }

  send (job: Job): void {
    this.updateWork()
    job.submittedMs = this.queue.nowMs
    let at = this.waiting.length
    while (this.pool.honoursPriority && at > 0 && (this.waiting[at - 1] as Job).priority < job.priority) at--
    this.waiting.splice(at, 0, job)
    this.startWaiting()
  }

  cancel (job: Job): void {
    if (job.state === 'ended') return
    this.updateWork()
    removeFrom(this.waiting, job)
    removeFrom(this.running, job)
    job.state = 'ended'
    this.startWaiting()
  }

  /** Takes the upstream down and ends all its attempts with `onLost`. */
  close (): void {
    this.updateWork()
    this.lost = true
    const jobs = [...this.running, ...this.waiting]
    this.running.length = 0
    this.waiting.length = 0
    for (const job of jobs) {
      job.state = 'ended'
      job.onLost()
    }
  }

  reportTokens (): void {
    this.updateWork()
    for (const job of [...this.running]) {
      const tokens = Math.floor((this.getDoneWork(job) - (job.totalWork - job.unitMs * job.unitCount)) / job.unitMs)
      if (tokens > 0) job.onTokens?.(tokens)
    }
  }

  /** Work done for a job so far. */
  getDoneWork (job: Job): number {
    if (job.startedMs < 0) return 0
    return Math.min(job.totalWork, this.work + this.computeElapsedWork() - job.startWork)
  }

  hasPrefix (prefixHash: string | undefined): boolean {
    return prefixHash !== undefined && this.cache.has(prefixHash)
  }

  computeTotalWork (job: Pick<Job, 'prefillMs' | 'unitMs' | 'unitCount' | 'prefixHash'>): number {
    return job.prefillMs * (this.hasPrefix(job.prefixHash) ? cachedShare : 1) + job.unitMs * job.unitCount
  }

  private computeElapsedWork (): number {
    return (this.queue.nowMs - this.updatedMs) / this.computeSlowdown(this.running.length)
  }

  private updateWork (): void {
    this.work += this.computeElapsedWork()
    this.updatedMs = this.queue.nowMs
  }

  private startWaiting (): void {
    while (this.running.length < this.pool.slots && this.waiting.length > 0) {
      const job = this.waiting.shift() as Job
      job.state = 'running'
      job.startedMs = this.queue.nowMs
      job.startWork = this.work
      job.totalWork = this.computeTotalWork(job)
      this.running.push(job)
      this.addPrefix(job.prefixHash)
      job.onStarted()
    }
    this.scheduleEnd()
  }

  private addPrefix (prefixHash: string | undefined): void {
    if (prefixHash === undefined) return
    if (!this.cache.delete(prefixHash)) this.onCacheEvent('stored', prefixHash)
    this.cache.set(prefixHash, true)
    if (this.cache.size <= cacheSize) return
    const oldest = [...this.cache.keys()][0] as string
    this.cache.delete(oldest)
    this.onCacheEvent('evicted', oldest)
  }

  private scheduleEnd (): void {
    const generation = ++this.generation
    if (this.running.length === 0) return
    let next = Number.POSITIVE_INFINITY
    for (const job of this.running) next = Math.min(next, job.startWork + job.totalWork - this.work)
    const delayMs = Math.max(0, next) * this.computeSlowdown(this.running.length)
    this.queue.schedule(this.queue.nowMs + delayMs, () => { if (generation === this.generation) this.handleEnd() })
  }

  private handleEnd (): void {
    this.updateWork()
    const done = this.running.filter(job => job.startWork + job.totalWork <= this.work + 1e-6)
    for (const job of done) {
      removeFrom(this.running, job)
      job.state = 'ended'
    }
    this.startWaiting()
    for (const job of done) job.onDone()
  }
}

function removeFrom (jobs: Job[], job: Job): void {
  const at = jobs.indexOf(job)
  if (at >= 0) jobs.splice(at, 1)
}
