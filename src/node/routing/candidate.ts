import type { UpstreamView } from './upstreamView.js'

/** An upstream considered for an attempt, with the predicted service and queueing times. */
export interface Candidate {
  readonly view: UpstreamView
  readonly serviceMs: number
  readonly waitMs: number
}
