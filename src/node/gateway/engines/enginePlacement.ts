import type { UpstreamState } from '../upstreams/upstreamState.js'

/** An engine that was chosen for a request, with what the time to its first event is compared with. */
export interface EnginePlacement {
  readonly engine: UpstreamState
  /** Prompt tokens that the engine is expected to read, because they are not in its cache. */
  readonly readTokens: number
  /** Prefill backlog of the engine before this request. */
  readonly backlogMs: number
}
