/** Constants of the command line. */
export const cliConstants = {
  /** Commands that run a host; their process handles signals from its start on. */
  hostCommands: ['serve', 'gateway'] as readonly string[],
  exitStatus: { success: 0, failure: 1, usage: 2, interrupted: 130 },
  /** Interval at which the settings file is checked for changes. */
  settingsPollMs: 1000,
  /** Attempts to read the settings for the start, and the pause between two of them. */
  settingsReadAttempts: 10,
  settingsRetryMs: 100,
  /** Error codes with which a server reports that a change may have been accepted. */
  uncertainErrorCodes: ['contract_change_uncertain', 'key_value_uncertain', 'internal_error'] as readonly string[],
  /** Time within which a server must respond, or begin a stream. */
  responseTimeoutMs: 10_000,
  /** Largest response. */
  maxAnswerBytes: 67_108_864,
  /** Longest line of a stream, in characters. */
  maxLineLength: 4_194_304,
  /** A watch that stays silent for this time is reopened. */
  watchSilenceTimeoutMs: 15_000,
  /** Delay before a broken watch is reopened. */
  watchReopenDelayMs: 1000,
  /** Delay between two status calls while waiting. */
  statusPollMs: 250,
  /** Twice the time within which a change is in force everywhere at target size (12 s). */
  applyTimeoutMs: 24_000,
  /** The longest drain timeout that the settings allow (one hour) plus one minute for the stop itself. */
  drainTimeoutMs: 3_660_000
} as const
