import type { SoakDisruption } from './soakDisruption.js'
import type { SoakEngine } from './soakEngine.js'
import type { SoakExecution } from './soakExecution.js'
import type { SoakHostRun } from './soakHostRun.js'
import type { SoakPiece } from './soakPiece.js'
import type { SoakRequest } from './soakRequest.js'

/** What was recorded of a soak test's clients, upstreams and host processes. Times are those of `performance.now()`. */
export interface SoakRecords {
  readonly requests: readonly SoakRequest[]
  readonly executions: readonly SoakExecution[]
  readonly pieces: readonly SoakPiece[]
  /** Failure domain by id of the upstream. */
  readonly domains: ReadonlyMap<string, string>
  /** Service by id of the upstream. */
  readonly services: ReadonlyMap<string, string>
  readonly engines: readonly SoakEngine[]
  readonly runs: readonly SoakHostRun[]
  /** When the soak's own process did not run. */
  readonly heldUp: ReadonlyArray<{ readonly fromMs: number, readonly toMs: number }>
  readonly disruptions: readonly SoakDisruption[]
  /** Services that any configuration of the run names for a path prefix. */
  readonly allowedServices: ReadonlyMap<string, ReadonlySet<string>>
  readonly endedAtMs: number
}
