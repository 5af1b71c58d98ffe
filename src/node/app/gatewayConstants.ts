/** Constants of the lifecycle of a gateway host. */
export const gatewayConstants = {
  /** Interval at which upstreams and hosts whose entries are still missing after a store outage are removed. */
  missingEntryCheckMs: 200,
  /**
   * Time for which a draining host still accepts requests, because clients may use a cached address:
   * three lifetimes of a response to an address query.
   */
  drainAcceptMs: 6000,
  /** Part of the grace period that is reserved for the stop itself, before the platform kills the process. */
  stopReserveMs: 600,
  /** Time for sending the last responses over a slow link before the connections are closed. */
  responseFlushMs: 150,
  /** Interval at which a stopping host closes connections that have become idle. */
  idleCloseIntervalMs: 50,
  /** Unexpected errors within the window after which the host stops: a fault of one request shows once or a few times. */
  maxUnexpectedErrors: 20,
  unexpectedErrorWindowMs: 10_000,
  /** Exit status after too many unexpected errors. */
  unexpectedErrorStatus: 70,
  /** Share of the file descriptors, less the reserved ones, that connections of other hosts may take. */
  peerDescriptorShare: 0.2,
  /** Port of the metrics endpoint; outside the port range for traffic between hosts. */
  metricsPort: 9464,
  metricsPath: '/metrics'
} as const
