/** Times of the administration API in milliseconds. */
export const adminConstants = {
  /** A watch sends a line at least this often, so that both ends notice a dead connection. */
  watchHeartbeatMs: 1000
} as const
