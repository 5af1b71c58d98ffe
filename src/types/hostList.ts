import type { HostListEntry } from './hostListEntry.js'

/** The platform's list of live and leaving hosts, which lags behind reality. Reads reject with `HostListUnavailableError`. */
export interface HostList {
  read (): Promise<readonly HostListEntry[]>
}
