import type { LimitShare } from './limitShare.js'

/** The limit that an upstream named in its last answer. */
export interface UpstreamLimit {
  /** Requests a second from all hosts together. */
  readonly requestsPerSecond: number
  /** Time from which on it no longer holds for a host that has had no answer from the upstream since. */
  readonly endsAtMs: number
  readonly share: LimitShare
}
