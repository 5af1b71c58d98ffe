import type { UpstreamState } from '../upstreams/upstreamState.js'

/** The upstream that an attempt is sent to. */
export interface ChosenUpstream {
  readonly upstream: UpstreamState
  /** Prompt tokens that an engine has to read; undefined when not known, and for other upstreams. */
  readonly readTokens?: number
  /** Prefill backlog of the engine before this request. */
  readonly backlogMs: number
  /** Reports the first event, or that there was none, to another host that has chosen the engine. */
  readonly reportFirstEvent?: (report: { readonly elapsedMs: number, readonly hasBegun: boolean }) => void
}
