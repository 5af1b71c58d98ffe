import type { Random } from '../../src/types/random.js'
import type { StageRouter } from '../../src/types/stageRouter.js'
import type { StageWork } from '../../src/types/stageWork.js'
import type { Upstream } from '../../src/types/upstream.js'
import type { UpstreamChoice } from '../../src/types/upstreamChoice.js'

/** Base of the baseline routers: knows only the outstanding attempts of its own host, retries once without a budget and never hedges. */
export abstract class BaselineRouter implements StageRouter {
  protected readonly outstanding = new Map<string, number>()
  private upstreams: readonly Upstream[] = []
  private readonly retried = new Set<string>()

  constructor (protected readonly random: Random) {}

  protected abstract choose (pool: string, candidates: readonly Upstream[]): Upstream | undefined

  applyUpstreams (upstreams: readonly Upstream[]): void {
    this.upstreams = upstreams
  }

  route (work: StageWork, excluded: ReadonlySet<string>): UpstreamChoice | undefined {
    const candidates = this.upstreams.filter(upstream => upstream.pool === work.pool && !excluded.has(upstream.id))
    const chosen = this.choose(work.pool, candidates)
    return chosen && { upstreamId: chosen.id, predictedMs: 0 }
  }

  computePauseMs (): undefined {}

  onSent (upstreamId: string): void {
    this.outstanding.set(upstreamId, this.getOutstanding(upstreamId) + 1)
  }

  onEnded (upstreamId: string): void {
    this.outstanding.set(upstreamId, this.getOutstanding(upstreamId) - 1)
  }

  onProgress (): void {}

  onLoadReport (): void {}

  onCacheEvent (): void {}

  onLeaving (): void {}

  admitRetry (work: StageWork): boolean {
    if (this.retried.has(work.workId)) return false
    this.retried.add(work.workId)
    return true
  }

  admitHedge (): boolean {
    return false
  }

  protected getOutstanding (upstreamId: string): number {
    return this.outstanding.get(upstreamId) ?? 0
  }
}
