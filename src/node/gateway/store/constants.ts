/** Parameters of the use of the platform's store. */
export const storeConstants = {
  /** Wait of the watches of configuration and upstreams. A silent one is noticed after it, so it must stay below the time in which a change is in force. */
  watchWaitMs: 2300,
  /** Wait of the watch of hosts: a host list that is this old costs efficiency only. */
  hostWatchWaitMs: 5000,
  /**
   * Least time between two watches of upstreams or hosts, so that a series of changes costs one call: a start of 140
   * upstreams before 30 hosts made 4,000 calls without it. A leaving upstream is noticed this much later at most.
   */
  coalesceMs: 400,
  hostCoalesceMs: 1000,
  /** First pause after a failed call; doubles up to the maximum. Calls are priced, refused ones too. */
  retryMs: 100,
  maxRetryMs: 800,
  /** Life of a host's entry after its last renewal: two renewals that fail. */
  leaseMs: 4000,
  renewMs: 1400
} as const
