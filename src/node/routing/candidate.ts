import type { UpstreamView } from './upstreamView.js'

/** An upstream considered for an attempt, with its predicted times in milliseconds. */
export interface Candidate {
  readonly view: UpstreamView
  readonly serviceMs: number
  readonly waitMs: number
}
