/** Settings of the gRPC links between hosts. */
export const peerConstants = {
  /** Keepalive of a connection with calls in progress. */
  keepaliveMs: 1000,
  keepaliveTimeoutMs: 1000,
  /**
   * Servers find dead clients of answer streams with slower pings: a ping a second on every open
   * connection would exceed the control traffic of 20 KB/s at 340 hosts.
   */
  serverKeepaliveMs: 10_000,
  serverKeepaliveTimeoutMs: 2000,
  idleConnectionTimeoutMs: 60_000,
  /** A connection is replaced after this many timeouts in a row. */
  timeoutsUntilReplacement: 2,
  minReconnectDelayMs: 100,
  maxReconnectDelayMs: 1000,
  /** Age up to which an authentication time is accepted. */
  maxAuthenticationAgeMs: 60_000,
  nonceBytes: 12,
  maxMessageBytes: 16 * 1024 * 1024,
  /** Length prefix of a gRPC message. */
  messagePrefixBytes: 5
} as const
