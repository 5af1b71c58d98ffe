import type { RequestResult } from './requestResult.js'
import type { StageCost } from './stageCost.js'
import type { WorkSpan } from './workSpan.js'

/** Everything measured in one run of one policy. */
export interface RunResult {
  readonly requests: RequestResult[]
  /** By request kind and stage, e.g. `signal-query/generate`. */
  readonly stages: Map<string, StageCost>
  /** Work at the runners, with the request that it was for. */
  readonly spans: WorkSpan[]
  /** Queueing of short work at upstreams, in milliseconds, with the time of arrival. */
  readonly shortWaits: { readonly atMs: number, readonly waitMs: number }[]
}
