/** Names and limits of the platform's interfaces. */
export const platformConstants = {
  /** Environment variable with the path of the settings file. */
  settingsVariable: 'LYCHEETRACK_SETTINGS',
  /** Where the platform puts the file; used when the variable is absent. */
  settingsPath: '/etc/lycheetrack/node.toml',
  configurationKey: 'op/config',
  configurationPrefix: 'op/',
  /** Followed by the failure domain that the operator evacuates. */
  evacuationPrefix: 'op/evacuate/',
  upstreamPrefix: 'servers/',
  /** Keys that the hosts write themselves. */
  hostPrefix: 'lycheetrack/hosts/',
  crashReportPrefix: 'lycheetrack/crash-reports/',
  promptTrialPrefix: 'lycheetrack/prompt-trials/',
  /** Software versions at which streams began. */
  streamVersionPrefix: 'lycheetrack/streams/',
  peerSecretKey: 'lycheetrack/peer-secret',
  /** Longest cold time that an upstream can state; upstreams warm up within a minute. */
  maxColdMs: 600_000,
  /** Largest number of rejections a second that a brittle upstream can state; upstreams take some tens of requests. */
  maxBrittleLimit: 10_000,
  /** Largest number of pieces of a stage that a request may state; stages have up to some tens. */
  maxPieceCount: 1000,
  /** Timeout of a read or write of the store. A response usually takes 4 ms, a slow one some hundred milliseconds. */
  storeCallTimeoutMs: 1500,
  /** Connections for reads and writes; the watch has one in addition. Some may wait for answers that are lost. */
  storeConnections: 4,
  connectTimeoutMs: 600,
  /** Longest wait that the store accepts for a watch. */
  maxWatchMs: 30_000,
  /** Responses of the store hold at most about 1 MB of values, which are a third larger in base64. */
  maxStoreResponseBytes: 4_194_304,
  /** Bytes of all responses of the store that are being received. */
  maxHeldStoreBytes: 12_582_912,
  /** Bytes of all pages of a read of the store. */
  maxSnapshotBytes: 33_554_432,
  /** Memory of an item besides its key and its value. */
  itemOverheadBytes: 128
} as const
