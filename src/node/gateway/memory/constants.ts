/** Parameters of the memory of a host. */
export const memoryConstants = {
  /** Interval of the log lines while the memory of the process is nearly used up. */
  logIntervalMs: 10_000,
  /** Interval at which the memory of the process is checked. */
  watchIntervalMs: 1000,
  /** Share of the machine's memory or of the heap limit at which the process is logged as near its limit. */
  warningShare: 0.85
} as const
