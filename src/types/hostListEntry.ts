/** An entry of the platform's host list; `role` is `entry` for entry hosts and the pool name for upstreams. */
export interface HostListEntry {
  readonly id: string
  readonly address: string
  /** gRPC address, for entry hosts. */
  readonly peerAddress?: string
  readonly role: string
  readonly failureDomain: string
  readonly state: 'live' | 'leaving'
}
