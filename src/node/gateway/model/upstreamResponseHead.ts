import type { UpstreamLoad } from './upstreamLoad.js'

/** Head of an upstream's answer, decoded. */
export interface UpstreamResponseHead {
  readonly status: number
  /** Id of the request that this answer belongs to, as the upstream echoes it. */
  readonly requestId?: string
  /** The upstream states that it did not run the request. */
  readonly isNotRun: boolean
  /** Results of stages that the request takes no longer exist; it was not run. */
  readonly areInputsGone: boolean
  /** Another upstream has this address now. */
  readonly isMisdirected: boolean
  /** The upstream closes the connection after this answer. */
  readonly closesConnection: boolean
  readonly isSigned: boolean
  /** The answer states where it ends. One that ends with its connection cannot be told from one that was cut. */
  readonly isFramed: boolean
  /** Undefined when absent. */
  readonly contentLength?: number
  readonly load?: UpstreamLoad
  /** End-to-end headers for the client, names and values in turn. */
  readonly forwardedHeaders: readonly string[]
}
