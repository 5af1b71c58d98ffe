/** Parameters of the life of a host on the platform. */
export const gatewayConstants = {
  /** Interval at which upstreams that did not come back are removed. */
  missingUpstreamCheckMs: 200,
  /** After the start of a drain, clients may still use a kept address: three lives of an address answer. */
  drainAcceptMs: 6000,
  /** Time for the stop itself before the process is killed. */
  stopReserveMs: 600,
  /** Time in which the last answers leave on a slow link before the connections are closed. */
  responseFlushMs: 150,
  idleCloseIntervalMs: 50,
  /** Port of the metrics; outside the range for traffic between hosts. */
  metricsPort: 9464,
  metricsPath: '/metrics'
} as const
