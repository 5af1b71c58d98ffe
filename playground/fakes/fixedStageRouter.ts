import type { AttemptOutcome } from '../../src/types/attemptOutcome.js'
import type { StageRouter } from '../../src/types/stageRouter.js'
import type { StageWork } from '../../src/types/stageWork.js'
import type { Upstream } from '../../src/types/upstream.js'
import type { UpstreamChoice } from '../../src/types/upstreamChoice.js'

/** Stage router for tests: chooses the first upstream of the pool that is neither excluded nor leaving. */
export class FixedStageRouter implements StageRouter {
  private upstreams: readonly Upstream[] = []
  readonly leavingUpstreams = new Set<string>()
  readonly endedAttempts: Array<{ readonly upstreamId: string, readonly outcome: AttemptOutcome }> = []
  /** Ids of upstreams that sent a load report. */
  readonly reportedUpstreams = new Set<string>()
  readonly cacheEvents: string[] = []
  sentCount = 0
  progressCount = 0
  hedgeAfterMs: number | undefined
  isRetryAdmitted = true
  /** Time for which the upstreams of all pools are paused. */
  pauseMs: number | undefined
  /** Number of next calls of `route` that return no upstream, as if all were full. */
  routeCallsToRefuse = 0
  /** Number of next calls of `admitHedge` that are refused. */
  hedgesToRefuse = 0

  applyUpstreams (upstreams: readonly Upstream[]): void {
    this.upstreams = upstreams
  }

  route (work: StageWork, excluded: ReadonlySet<string>): UpstreamChoice | undefined {
    if (this.routeCallsToRefuse > 0) {
      this.routeCallsToRefuse--
      return undefined
    }
    const found = this.upstreams.find(upstream => upstream.pool === work.pool && !excluded.has(upstream.id) && !this.leavingUpstreams.has(upstream.id))
    return found === undefined ? undefined : { upstreamId: found.id, predictedMs: 10, hedgeAfterMs: work.idempotent ? this.hedgeAfterMs : undefined }
  }

  computePauseMs (): number | undefined {
    return this.pauseMs
  }

  onSent (): void {
    this.sentCount++
  }

  onProgress (): void {
    this.progressCount++
  }

  onEnded (upstreamId: string, _work: StageWork, outcome: AttemptOutcome): void {
    this.endedAttempts.push({ upstreamId, outcome })
  }

  onLoadReport (report: { readonly upstreamId: string }): void {
    this.reportedUpstreams.add(report.upstreamId)
  }

  onCacheEvent (upstreamId: string, type: string, prefixHash: string): void {
    this.cacheEvents.push(`${upstreamId} ${type} ${prefixHash}`)
  }

  onLeaving (upstreamId: string): void {
    this.leavingUpstreams.add(upstreamId)
  }

  admitRetry (): boolean {
    return this.isRetryAdmitted
  }

  admitHedge (): boolean {
    return this.hedgesToRefuse-- <= 0
  }
}
