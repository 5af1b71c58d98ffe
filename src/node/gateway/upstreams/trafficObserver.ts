/** Follows the connections of this host with all upstreams. */
export interface TrafficObserver {
  onExchangeStarted (): void
  onExchangeEnded (): void
  /** Bytes of a response have arrived. */
  onBytes (): void
  onConnected (): void
  onConnectFailed (upstreamId: string): void
}
