import type { SoakPiece } from './soakPiece.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakRun } from './soakRun.js'

/** What clients and upstreams of a soak have seen. */
export interface SoakRecords {
  readonly requests: readonly SoakRequest[]
  readonly runs: readonly SoakRun[]
  readonly pieces: readonly SoakPiece[]
  /** Services to which any configuration has sent the requests of a path prefix. */
  readonly allowedServices: ReadonlyMap<string, ReadonlySet<string>>
  readonly endedAtMs: number
}
