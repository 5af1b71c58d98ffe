/** Parameters of the fault soak. */
export const soakConstants = {
  /** Time without new faults at the end of a run, in which service must recover: two lives of a host's lease. */
  recoveryMs: 8000,
  /** Requests sent in this last part of the recovery count for it. */
  recoveryWindowMs: 3000,
  /** Least share of them that must be served, as the platform's rules state. */
  minRecoveredShare: 0.25,
  /** Time beyond a client's own that an upstream may be handed, as the platform's rules state. */
  timeLeftSlackMs: 500,
  gracePeriodMs: 3000,
  eventCount: 8,
  eventIntervalMs: 25,
  answerDelayMs: 15,
  /** Pause of a client between two requests. */
  maxClientPauseMs: 40,
  clientTimeoutMs: 2500,
  directoryTimeoutMs: 1000,
  /** Clients use an answer of the directory for this time. */
  addressLifetimeMs: 2000
} as const
