import type { soakFaultTypes } from './soakFaultTypes.js'

/** One fault of a soak; `target` numbers the host, the upstream or the configuration that it meets. */
export interface SoakFault {
  readonly type: typeof soakFaultTypes[number]
  readonly atMs: number
  readonly forMs: number
  readonly target: number
}
