import type { UpstreamResponseHead } from '../model/upstreamResponseHead.js'

/** Outcome of one attempt to send a request to an upstream. */
export type AttemptResult =
  /** A complete response that has not been forwarded to the client. */
  | { readonly type: 'answer', readonly head: UpstreamResponseHead, readonly body: Buffer }
  /** A stream was forwarded completely. */
  | { readonly type: 'streamed', /** Longest time between two arrivals of events. */ readonly longestPauseMs: number }
  /** The upstream certainly did not run the request. `wasSent` is false when there was no connection to send it on. */
  | {
    readonly type: 'not-run',
    readonly reason: string,
    readonly wasSent: boolean,
    readonly areInputsGone: boolean,
    /** Whether the cause lies between the hosts, not at the upstream. */
    readonly isRelayLost?: boolean,
    /** Whether a condition of the upstream forbade to send the request, which says nothing of how the upstream works. */
    readonly isHeldBack?: boolean
  }
  /** The upstream may have run the request, wholly or in part. */
  | {
    readonly type: 'uncertain',
    readonly reason: string,
    /** Whether the upstream closed or reset the connection. */
    readonly isConnectionLost?: boolean
    /** Whether the process of the upstream has ended, as checked by the host that relayed the request. */
    readonly hasUpstreamEnded?: boolean
    /** Whether the cause lies between the hosts, not at the upstream. */
    readonly isRelayLost?: boolean
  }
  /**
   * The client disconnected or read too slowly, or the request was ended at its deadline or by the stop of the host.
   */
  | { readonly type: 'cancelled' }
