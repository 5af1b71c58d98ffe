import type { HostTimings } from './hostTimings.js'

/** Settings that the platform provides to a host. Addresses are `ip:port`. */
export interface HostSettings {
  readonly hostId: string
  readonly failureDomain: string
  readonly ipAddress: string
  readonly clientAddress: string
  readonly readinessAddress: string
  /** Undefined when the host does not respond to address queries. */
  readonly directoryAddress?: string
  readonly firstPeerPort: number
  readonly lastPeerPort: number
  readonly storeAddress: string
  /** Processor cores available to the process; may be a fraction. */
  readonly cores: number
  readonly memoryBytes: number
  readonly fileDescriptors: number
  readonly timings: HostTimings
}
