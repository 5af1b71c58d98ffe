import type { SoakDisruption } from './soakDisruption.js'
import type { SoakFault } from './soakFault.js'

/** Outcome of a soak run. */
export interface SoakResult {
  readonly seed: number
  readonly plan: readonly SoakFault[]
  readonly disruptions: readonly SoakDisruption[]
  readonly requests: number
  /** Number of requests with a complete answer of status 200. */
  readonly served: number
  /** Number of executions at upstreams; a request that was executed again counts again. */
  readonly runs: number
  /** Number of requests that resumed a stream, and of those with an answer of status 200. */
  readonly resumed: number
  readonly wentOn: number
  /** Largest resident memory of a host process. */
  readonly peakMemoryMb: number
  /** Time in which host processes waited long for a processor, all together. */
  readonly slowedMs: number
  /** Time in which the soak's own process did not run. */
  readonly heldUpMs: number
  /** Messages of `checkSoak`; empty when no rule was violated. */
  readonly violations: readonly string[]
  readonly logs: ReadonlyArray<{ readonly host: string, readonly lines: readonly string[] }>
}
