/** Parameters of the calls to the platform's store. */
export const storeConstants = {
  /** Long-poll wait of the watches of configuration and upstreams. A watch that gets no response is detected only after it, so it must stay below the time within which a change must be in force. */
  watchWaitMs: 2300,
  /** Long-poll wait of the watch of hosts: a host list of this age only costs efficiency. */
  hostWatchWaitMs: 5000,
  /**
   * Pause of the watches of upstreams and hosts after changes, so that a series of changes costs one call: without it,
   * the start of 140 upstreams with 30 hosts running made 4,000 calls. Delays the notice of a leaving upstream by at
   * most this much.
   */
  coalesceMs: 400,
  hostCoalesceMs: 1000,
  /** First pause after a failed call; doubles up to the maximum. Calls are charged for, including refused ones. */
  retryMs: 100,
  maxRetryMs: 800,
  /** Lifetime of a host's entry after its last renewal; spans two failed renewals. */
  leaseMs: 4000,
  renewMs: 1400
} as const
