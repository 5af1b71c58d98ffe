import type { CallKind } from './callKind.js'
import type { PipelineStage } from './pipelineStage.js'
import type { RouteTarget } from './routeTarget.js'

/** How requests of one host name and path prefix are served. */
export interface Route {
  readonly name: string
  readonly hostName: string
  readonly pathPrefix: string
  readonly callKind: CallKind
  /** Whether a broken stream may go on at another upstream after its last event. */
  readonly isResumable: boolean
  /** A request has its final answer within this time. */
  readonly timeoutMs: number
  /** Time to the answer, or to the first event of a stream, within which the request earns its full credit. */
  readonly latencyAimMs: number
  /** Longest pause between events of a stream that is still on time; 0 when not declared. */
  readonly pauseAimMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Upstreams to which one request may be sent in total. */
  readonly maxAttempts: number
  readonly allowsAnonymous: boolean
  readonly stages: readonly PipelineStage[]
}
