/** Parameters of the use of the platform's store. */
export const storeConstants = {
  /** Wait of a watch. A silent one is noticed after it; it must stay below the time in which a configuration is in force. */
  watchMs: 2500,
  /** First pause after a failed call; doubles up to the maximum. Calls are priced, refused ones too. */
  retryMs: 100,
  maxRetryMs: 800,
  /** Life of a host's entry after its last renewal: three renewals. */
  leaseMs: 3000,
  renewMs: 1000
} as const
