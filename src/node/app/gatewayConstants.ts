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
  /** Part of it that follows the stop of the components: the last log lines (`logConstants.maxFlushMs`) and the end of the process. */
  exitReserveMs: 250,
  /**
   * Processor time of the last responses and the stop of the components, and of the end of the process: with 0.24 of a
   * core and nine requests in progress, both took 0.67 s, of which 0.4 s are waits; the rest is for more requests.
   */
  stopWorkMs: 120,
  exitWorkMs: 100,
  /**
   * Turns of the event loop for which these two parts wait, each as late as the others. A final response is written two
   * turns after its request has ended (`waitForArrivals`).
   */
  stopTurns: 4,
  exitTurns: 3,
  /**
   * Share of the grace period for which requests are served, and after which the stop is over, at any load. Clients use
   * a cached address for 2 s, and for 2 s more when a directory has given it out just before it knew of the stop.
   */
  minServingShare: 0.5,
  minExitShare: 0.7,
  /** Interval of the timer that shows how late the event loop is, and the window for which its lag counts. */
  turnIntervalMs: 100,
  lagWindowMs: 3000,
  /** A lag up to this is usual in a process that has its core to itself. */
  toleratedLagMs: 50,
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
  metricsPath: '/metrics',
  /** Path at which the same server tells where a request would go. */
  placementPath: '/placement'
} as const
