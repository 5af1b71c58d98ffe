import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** How one sending of a request to an upstream ended. */
export type AttemptResult =
  /** A whole answer that has not been forwarded. */
  | { readonly type: 'answer', readonly head: UpstreamResponseHead, readonly body: Buffer }
  /** A stream was forwarded to its end. */
  | { readonly type: 'streamed', /** Longest time between two arrivals of events. */ readonly longestPauseMs: number }
  /** The upstream certainly did not run the request. `wasSent` is false when no connection could be had. */
  | { readonly type: 'not-run', readonly reason: string, readonly wasSent: boolean, readonly areInputsGone: boolean }
  /** The upstream may have run the request, or is in the middle of its stream. */
  | { readonly type: 'uncertain', readonly reason: string }
  /** The client left or the time was up. */
  | { readonly type: 'cancelled' }
