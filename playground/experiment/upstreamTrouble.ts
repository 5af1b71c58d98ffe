/** A fault: some upstreams of a service are slow or do not answer for a while. */
export interface UpstreamTrouble {
  readonly atMs: number
  readonly forMs: number
  readonly service: string
  /** Share of the service's upstreams. */
  readonly share: number
  /** Duration of work relative to the usual one; Infinity for upstreams that are down. */
  readonly slowdown: number
}
