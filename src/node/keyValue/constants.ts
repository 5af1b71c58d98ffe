/** Time limits of the calls to the platform, in milliseconds. */
export const platformConstants = {
  callTimeoutMs: 1000,
  /** A watch sends a heartbeat each second; three missed ones mean that the connection is dead. */
  watchSilenceMs: 3000,
  watchReopenMinMs: 100,
  watchReopenMaxMs: 1000,
  /** Upper bound of open connections to one platform service; more calls wait for a free one. */
  maxConnections: 32
} as const
