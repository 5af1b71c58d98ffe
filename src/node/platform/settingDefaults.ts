/**
 * Values of settings that a file leaves out, has empty or in a form that cannot be read. A host can serve with them; they
 * are the figures of the platform's example.
 */
export const settingDefaults = {
  zone: 'unknown',
  heartbeatIntervalMs: 1200,
  limits: { cpuShare: 1, cores: 1, memoryMb: 350, fileDescriptors: 1024 },
  bounds: {
    drainMs: 2000,
    gracePeriodS: 8,
    configurationMs: 2000,
    stableWindowMs: 3000,
    ttl_max_s: 5,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    budgetExtraRetries: 56
  },
  /** Any free port. */
  internalPortRange: [0, 0]
} as const
