import type { SoakFaultType } from './soakFaultType.js'

/** One fault of a soak; `target` numbers the host, the upstream or the configuration that it meets. */
export interface SoakFault {
  readonly type: SoakFaultType
  readonly atMs: number
  readonly forMs: number
  readonly target: number
}
