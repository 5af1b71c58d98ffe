/** What a host publishes in the store about itself for the other hosts. */
export interface HostEntry {
  readonly id: string
  readonly failureDomain: string
  /** Address at which clients reach the host, `ip:port`. */
  readonly clientAddress: string
  /** Address of the host's gRPC server, `ip:port`. */
  readonly peerAddress: string
  /** Processor cores available to the host. */
  readonly cores: number
  /** Whether the host accepts new client connections. */
  readonly isReady: boolean
  /** Start of the process, milliseconds since the epoch. */
  readonly startedAtMs: number
}
