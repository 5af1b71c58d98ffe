import type { HostState } from './hostState.js'

/** An entry host. Addresses are `ip:port`. */
export interface HostRecord {
  readonly id: string
  readonly failureDomain: string
  /** Address of the caller API. */
  readonly address: string
  /** Address of the gRPC server for other hosts. */
  readonly peerAddress: string
  /** Start time of the process in milliseconds since the epoch. The host raises it to refute a suspicion about itself. */
  readonly incarnation: number
  readonly state: HostState
}
