import type { HostTimings } from './hostTimings.js'
import type { SettingFault } from '../../settings/settingFault.js'

/** Settings that the platform provides to a host. Addresses are `ip:port`. */
export interface HostSettings {
  readonly hostId: string
  readonly failureDomain: string
  readonly ipAddress: string
  readonly clientAddress: string
  /** Undefined when nobody asks the host whether it is ready. */
  readonly readinessAddress?: string
  /** Undefined when the host does not respond to address queries. */
  readonly directoryAddress?: string
  /** Ports for traffic between hosts; 0 for any free one. */
  readonly firstPeerPort: number
  readonly lastPeerPort: number
  readonly storeAddress: string
  /** Processor cores available to the process; may be a fraction. */
  readonly cores: number
  readonly memoryBytes: number
  readonly fileDescriptors: number
  readonly timings: HostTimings
  /** Settings that were not readable; defaults are used in their place. */
  readonly replacedSettings?: readonly SettingFault[]
}
