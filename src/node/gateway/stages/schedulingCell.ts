/** Failure domains whose stage work is scheduled together, by one host. */
export interface SchedulingCell {
  readonly domains: readonly string[]
  /** Share of each service's upstreams that are in these domains. */
  readonly shares: ReadonlyMap<string, number>
}
