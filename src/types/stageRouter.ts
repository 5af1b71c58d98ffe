import type { AttemptOutcome } from './attemptOutcome.js'
import type { LoadReport } from './loadReport.js'
import type { StageWork } from './stageWork.js'
import type { Upstream } from './upstream.js'
import type { UpstreamChoice } from './upstreamChoice.js'

/**
 * Chooses upstreams for stage attempts. Holds the host's view of its upstreams; all times come from
 * outside, in milliseconds on one monotonic clock.
 */
export interface StageRouter {
  /** Replaces the known upstreams; views of upstreams that stay are kept. */
  applyUpstreams (upstreams: readonly Upstream[], nowMs: number): void
  /** Undefined when no upstream of the pool may take the work. `excluded` holds upstreams already tried. */
  route (work: StageWork, excluded: ReadonlySet<string>, nowMs: number): UpstreamChoice | undefined
  /** Must be called once for each attempt that was sent. */
  onSent (upstreamId: string, work: StageWork, nowMs: number): void
  /** Optional progress of a streaming attempt: tokens received so far. */
  onProgress (upstreamId: string, work: StageWork, tokens: number, nowMs: number): void
  /** Must be called once at the end of each attempt that was sent. */
  onEnded (upstreamId: string, work: StageWork, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void
  onLoadReport (report: LoadReport, nowMs: number): void
  onCacheEvent (upstreamId: string, type: 'stored' | 'evicted' | 'gap', prefixHash: string, nowMs: number): void
  /** A direct signal that the upstream is leaving, from any source. */
  onLeaving (upstreamId: string, nowMs: number): void
  /** Asks the budget for one more attempt of work that has been sent before. */
  admitRetry (work: StageWork, nowMs: number): boolean
  admitHedge (work: StageWork, nowMs: number): boolean
}
