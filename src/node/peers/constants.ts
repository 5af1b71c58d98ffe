/** Settings of the gRPC connections between hosts. */
export const peerConstants = {
  /** Secrets that a host accepts: the present one and those that were replaced last. */
  maxSecrets: 3,
  /** Client keepalive, active only while calls are in progress. */
  keepaliveMs: 1000,
  keepaliveTimeoutMs: 1000,
  /**
   * Keepalive of servers, which detects dead clients of streaming calls. It is slower than that of clients, because
   * one ping per second on every open connection would exceed 20 KB/s of control traffic with 340 hosts.
   */
  serverKeepaliveMs: 10_000,
  serverKeepaliveTimeoutMs: 2000,
  idleConnectionTimeoutMs: 60_000,
  /** A channel is replaced after this many consecutive timeouts. */
  timeoutsUntilReplacement: 2,
  minReconnectDelayMs: 100,
  maxReconnectDelayMs: 1000,
  /** Maximum difference between the timestamp of a call and the local wall clock. */
  maxAuthenticationAgeMs: 60_000,
  nonceBytes: 12,
  maxMessageBytes: 16 * 1024 * 1024,
  /** Length of the prefix of each gRPC message: a compression flag and a 4-byte length. */
  messagePrefixBytes: 5
} as const
