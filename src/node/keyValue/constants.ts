/** Time limits of the calls to the platform, in milliseconds. */
export const keyValueConstants = {
  callTimeoutMs: 1000,
  /** A watch sends a heartbeat each second; three missed ones mean that the connection is dead. */
  watchIdleTimeoutMs: 3000,
  minWatchReopenDelayMs: 100,
  maxWatchReopenDelayMs: 1000,
  /** Upper bound of open connections to one platform service; more calls wait for a free one. */
  maxConnections: 32
} as const
