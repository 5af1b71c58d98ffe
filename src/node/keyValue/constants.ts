/** Timeouts, delays and connection limits of the HTTP clients of the platform services. */
export const keyValueConstants = {
  callTimeoutMs: 1000,
  /** The service sends a heartbeat every second; a watch connection without data for this long is considered dead. */
  watchIdleTimeoutMs: 3000,
  minWatchReopenDelayMs: 100,
  maxWatchReopenDelayMs: 1000,
  /** Maximum open connections to one platform service; further calls wait for a free connection. */
  maxConnections: 32
} as const
