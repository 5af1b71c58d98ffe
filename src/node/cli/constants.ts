/** Parameters of the command line. */
export const cliConstants = {
  exitStatus: { success: 0, failure: 1, usage: 2 },
  /** Interval at which the settings file is checked for changes. */
  settingsPollMs: 1000,
  /** Codes with which a server says that a change may have been accepted. */
  uncertainErrorCodes: ['contract_change_uncertain', 'key_value_uncertain', 'internal_error'] as readonly string[],
  /** Time within which a server must begin to answer. */
  responseTimeoutMs: 10_000,
  /** A silent watch is opened anew after this time. */
  watchSilenceTimeoutMs: 15_000,
  /** Pause before a broken watch is opened again. */
  watchReopenDelayMs: 1000,
  /** Pause between two status calls while waiting. */
  statusPollMs: 250,
  /** Twice the time within which a change is in force everywhere at target size (12 s). */
  applyTimeoutMs: 24_000,
  /** Longest drain timeout that the settings allow, one hour, and a minute for the stop itself. */
  drainTimeoutMs: 3_660_000
} as const
