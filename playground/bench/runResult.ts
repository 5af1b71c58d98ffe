import type { RequestResult } from './requestResult.js'
import type { StageCost } from './stageCost.js'
import type { WorkSpan } from './workSpan.js'

/** Everything measured in one run of one policy. */
export interface RunResult {
  readonly requests: RequestResult[]
  /** By request kind and stage, e.g. `signal-query/generate`. */
  readonly stages: Map<string, StageCost>
  /** Work at upstreams of the pool `runners`, with the request that it was for. */
  readonly spans: WorkSpan[]
  /** Time that each started attempt of a short request (`BenchKind.short`) waited at its upstream, with the time of its arrival there. */
  readonly shortWaits: { readonly atMs: number, readonly waitMs: number }[]
}
