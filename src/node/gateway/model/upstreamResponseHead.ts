import type { UpstreamLoad } from './upstreamLoad.js'

/** Decoded head of an upstream's response. */
export interface UpstreamResponseHead {
  readonly status: number
  /** Id of the request that this response belongs to, as echoed by the upstream. */
  readonly requestId?: string
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean
  /** Whether the request was not run because stage results that it takes no longer exist. */
  readonly areInputsGone: boolean
  /** Whether another upstream now has this address. */
  readonly isMisdirected: boolean
  /** Whether the upstream closes the connection after this response. */
  readonly closesConnection: boolean
  /** Whether the upstream states that it will stop and wants no more requests. */
  readonly isLeaving: boolean
  /** Whether the response carries a signature; a successful one without it is not forwarded. */
  readonly isSigned: boolean
  /** Whether the response states where it ends. One that ends with its connection cannot be distinguished from one that was cut off. */
  readonly isFramed: boolean
  /** Whether the body is a stream of events by its type; undefined when the response states none. */
  readonly isEventStream?: boolean
  /** Undefined when absent. */
  readonly contentLength?: number
  readonly load?: UpstreamLoad
  /** Requests a second that the upstream takes from all hosts together; undefined when it names no limit. */
  readonly requestLimit?: number | 'unreadable'
  /** Time for which the upstream wants no requests from this host, in milliseconds; undefined when it states none. */
  readonly backoffMs?: number | 'unreadable'
  /** Time for which the upstream is still cold, in milliseconds; undefined when it does not state it. */
  readonly coldMs?: number | 'unreadable'
  /** Rejections a second that the brittle upstream bears before it ends; undefined when it does not state to be brittle. */
  readonly brittleLimit?: number | 'unreadable'
  /** End-to-end headers for the client, as alternating names and values. */
  readonly forwardedHeaders: readonly string[]
}
