/** Parameters of the life of a host on the platform. */
export const gatewayConstants = {
  /** Interval at which upstreams that did not come back are removed. */
  missingCheckMs: 200,
  /** After the start of a drain, clients may still use a kept address: three lives of an address answer. */
  lingerMs: 6000,
  /** Time for the stop itself before the process is killed. */
  stopReserveMs: 600,
  /** Time in which the last answers leave on a slow link before the connections are closed. */
  lastAnswersMs: 150,
  idleCloseMs: 50,
  /** Port of the metrics; outside the range for traffic between hosts. */
  metricsPort: 9464,
  metricsPath: '/metrics'
} as const
