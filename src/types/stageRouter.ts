import type { AttemptOutcome } from './attemptOutcome.js'
import type { LoadReport } from './loadReport.js'
import type { StageWork } from './stageWork.js'
import type { Upstream } from './upstream.js'
import type { UpstreamChoice } from './upstreamChoice.js'

/**
 * Chooses upstreams for stage attempts and keeps the state of the host's upstreams. All times are passed in, in
 * milliseconds on one monotonic clock.
 */
export interface StageRouter {
  /** Replaces the set of known upstreams; the state of upstreams that remain is kept. */
  applyUpstreams (upstreams: readonly Upstream[], nowMs: number): void
  /** Chooses an upstream; undefined if no upstream of the pool may take the work. `excluded` holds upstreams already tried. */
  route (work: StageWork, excluded: ReadonlySet<string>, nowMs: number): UpstreamChoice | undefined
  /**
   * Time until an upstream of the pool takes work again, in milliseconds, while all of them are paused because they
   * broke the protocol; undefined while one takes work.
   */
  computePauseMs (pool: string, nowMs: number): number | undefined
  /** Must be called once for each attempt that was sent. */
  onSent (upstreamId: string, work: StageWork, nowMs: number): void
  /** Reports the progress of a streaming attempt, as the number of tokens received so far. Optional. */
  onProgress (upstreamId: string, work: StageWork, tokens: number, nowMs: number): void
  /** Must be called once at the end of each attempt that was sent. */
  onEnded (upstreamId: string, work: StageWork, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void
  onLoadReport (report: LoadReport, nowMs: number): void
  onCacheEvent (upstreamId: string, type: 'stored' | 'evicted' | 'gap', prefixHash: string, nowMs: number): void
  /** Must be called when any source reports that the upstream is leaving. */
  onLeaving (upstreamId: string, nowMs: number): void
  /** Takes a retry from the retry budget, for work that has been sent before. */
  admitRetry (work: StageWork, nowMs: number): boolean
  /** Takes a hedge (a second, parallel attempt) from the retry budget. */
  admitHedge (work: StageWork, nowMs: number): boolean
}
