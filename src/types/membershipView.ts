import type { HostRecord } from './hostRecord.js'

/** The entry hosts as this host sees them. */
export interface MembershipView {
  getSelf (): HostRecord
  /** All known hosts that are not dead, this one included. */
  listHosts (): readonly HostRecord[]
  find (hostId: string): HostRecord | undefined
  /** Calls `listener` after each change of the table; the returned function removes it. */
  onChange (listener: (host: HostRecord) => void): () => void
}
