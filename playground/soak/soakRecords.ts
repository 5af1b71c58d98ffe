import type { SoakPiece } from './soakPiece.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakExecution } from './soakExecution.js'

/** What clients and upstreams of a soak have seen. */
export interface SoakRecords {
  readonly requests: readonly SoakRequest[]
  readonly executions: readonly SoakExecution[]
  readonly pieces: readonly SoakPiece[]
  /** Services to which any configuration has sent the requests of a path prefix. */
  readonly allowedServices: ReadonlyMap<string, ReadonlySet<string>>
  readonly endedAtMs: number
}
