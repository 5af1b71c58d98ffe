/** Timeouts, delays and connection limits of the HTTP clients of the platform services. */
export const keyValueConstants = {
  callTimeoutMs: 1000,
  /** The service sends a heartbeat every second; a watch connection without data for this long is considered dead. */
  watchIdleTimeoutMs: 3000,
  minWatchReopenDelayMs: 100,
  maxWatchReopenDelayMs: 1000,
  /** Maximum open connections to one platform service; further calls wait for a free connection. */
  maxConnections: 32,
  /** Largest answer of a platform service: all contracts of an installation at target size take some 5 MB. */
  maxAnswerBytes: 16_777_216,
  /** Bytes of all answers of a platform service that are being received. */
  maxHeldAnswerBytes: 20_971_520,
  /** Longest line of a watch: one value of up to 1 MB, with escapes. */
  maxWatchLineBytes: 4_194_304,
  /** Heartbeats in a second after which the connection of a watch is replaced; those of a minute may arrive at once. */
  maxHeartbeatsPerSecond: 64
} as const
