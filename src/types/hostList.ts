import type { HostListEntry } from './hostListEntry.js'

/** The platform's lagging list of live and leaving hosts. Rejects with `HostListUnavailableError`. */
export interface HostList {
  read (): Promise<readonly HostListEntry[]>
}
