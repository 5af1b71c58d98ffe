/** Parameters of the calls to the platform's store. */
export const storeConstants = {
  /** Time beyond its own wait after which a watch fails. */
  watchGraceMs: 700,
  minWatchWaitMs: 500,
  /** Pause after changes as a share of the time within which a change must be in force; the rest is for a lost watch and a slow store. */
  coalesceShare: 0.25,
  /** Largest such share in a large fleet; at least half of the time is left for a slow store and a late event loop. */
  maxCoalesceShare: 0.45,
  /** Number of hosts up to which calls are made at the usual intervals; larger fleets stretch them. */
  usualHosts: 32,
  /** First pause after a failed call; doubles up to the maximum. Calls are charged for, including refused ones. */
  retryMs: 100,
  maxRetryMs: 800,
  /** Largest pause in a large fleet; with the spread of half of it, hosts are back within the usual 4 s after an outage. */
  maxFleetRetryMs: 1500,
  /** Time over which the hosts spread reading the store again when it has lost its history or was restored. */
  rereadSpreadMs: 300,
  /** Lifetime of a host's entry after its last renewal; spans two failed renewals. */
  leaseMs: 4000,
  renewMs: 1400,
  /** An upstream's entry ends after this many intervals without a heartbeat. */
  heartbeatsUntilGone: 3,
  /** Time after the return of the store within which upstreams that live have written their entries again. */
  returnMs: 2000,
  /** Age of the oldest copy that is recognized; copies are some seconds old. */
  pastValueMs: 60_000,
  /** Bounds of the memory for past values; entries of a fleet of 3,000 upstreams change a few times a minute. */
  maxPastValuesPerKey: 16,
  maxPastKeys: 8192,
  maxLoggedKeys: 8
} as const
