import type { StageRouter } from '../../types/stageRouter.js'
import type { StageWork } from '../../types/stageWork.js'
import type { ModelDemand } from '../placement/modelDemand.js'

/** Wraps `router` so that each attempt that is sent is also counted in the demand for its model. */
export function createDemandRecordingRouter (router: StageRouter, demand: ModelDemand): StageRouter {
  return {
    applyUpstreams: (upstreams, nowMs) => router.applyUpstreams(upstreams, nowMs),
    route: (work, excluded, nowMs) => router.route(work, excluded, nowMs),
    computePauseMs: (pool, nowMs) => router.computePauseMs(pool, nowMs),
    onSent: (upstreamId: string, work: StageWork, nowMs: number) => {
      if (work.model !== undefined) demand.observe(work.model, work.cost, nowMs)
      router.onSent(upstreamId, work, nowMs)
    },
    onProgress: (upstreamId, work, tokens, nowMs) => router.onProgress(upstreamId, work, tokens, nowMs),
    onEnded: (upstreamId, work, outcome, elapsedMs, nowMs) => router.onEnded(upstreamId, work, outcome, elapsedMs, nowMs),
    onLoadReport: (report, nowMs) => router.onLoadReport(report, nowMs),
    onCacheEvent: (upstreamId, type, prefixHash, nowMs) => router.onCacheEvent(upstreamId, type, prefixHash, nowMs),
    onLeaving: (upstreamId, nowMs) => router.onLeaving(upstreamId, nowMs),
    admitRetry: (work, nowMs) => router.admitRetry(work, nowMs),
    admitHedge: (work, nowMs) => router.admitHedge(work, nowMs)
  }
}
