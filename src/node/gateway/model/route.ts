import type { CallKind } from './callKind.js'
import type { PipelineStage } from './pipelineStage.js'
import type { RouteTarget } from './routeTarget.js'

/** How requests of one host name and path prefix are served. */
export interface Route {
  readonly name: string
  readonly hostName: string
  readonly pathPrefix: string
  readonly callKind: CallKind
  /** Whether a broken stream may be resumed at another upstream after its last event. */
  readonly isResumable: boolean
  /** Time within which a request gets its final response. */
  readonly timeoutMs: number
  /** Latency target: time to the response, or to the first event of a stream, within which the request earns its full credit. */
  readonly latencyAimMs: number
  /** Target for the longest pause between events of a stream; 0 when not declared. */
  readonly pauseAimMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
  /** Largest number of attempts that send one request to an upstream. */
  readonly maxAttempts: number
  readonly allowsAnonymous: boolean
  readonly stages: readonly PipelineStage[]
}
