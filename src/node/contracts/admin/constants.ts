/** Intervals of the administration API. */
export const adminConstants = {
  /** A watch sends a line at least this often, so that both sides detect a dead connection. */
  watchHeartbeatMs: 1000
} as const
