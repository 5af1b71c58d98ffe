import type { SoakPiece } from './soakPiece.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakExecution } from './soakExecution.js'

/** What the clients and upstreams of a soak test recorded. */
export interface SoakRecords {
  readonly requests: readonly SoakRequest[]
  readonly executions: readonly SoakExecution[]
  readonly pieces: readonly SoakPiece[]
  /** Services that any configuration of the run names for a path prefix. */
  readonly allowedServices: ReadonlyMap<string, ReadonlySet<string>>
  readonly endedAtMs: number
}
