import type { HostRecord } from './hostRecord.js'

/** The entry hosts as this host sees them. */
export interface MembershipView {
  getSelf (): HostRecord
  /** All known hosts that are not dead, including this one. */
  listHosts (): readonly HostRecord[]
  find (hostId: string): HostRecord | undefined
  /** Calls `listener` with each host whose record has changed; the returned function removes it. */
  onChange (listener: (host: HostRecord) => void): () => void
}
