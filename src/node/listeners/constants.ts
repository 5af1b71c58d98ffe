/** Parameters of listening sockets. */
export const listenerConstants = {
  /** Pause before an address in use is tried again. */
  addressRetryMs: 50,
  /** Time for which an address in use is waited for, beyond the time that another process may take for its stop. */
  addressWaitMarginMs: 5000,
  /** Pause before an address that the start does not wait for is tried again. */
  optionalAddressRetryMs: 1000,
  /** Least size of the pieces in which the HTTP parser gets a client's bytes; short requests have some hundred. */
  parsedPieceBytes: 2048,
  /** Interval at which connections are checked for unread answers. */
  unreadCheckMs: 1000,
  /**
   * Time for which an answer must be unread before its connection gives way to a new one. A lost packet, sent again up to
   * three times, delays the client of an answer for less.
   */
  minEvictedUnreadMs: 2000,
  /**
   * Default time after which a connection with an unread answer is closed: four times the idle timeout of the documented
   * limits, and twice the longest timeout of a route in use.
   */
  defaultUnreadTimeoutMs: 60_000,
  /** Interval of the log lines while connections are refused. */
  refusalLogIntervalMs: 10_000
} as const
