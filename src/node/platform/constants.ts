/** Names and limits of the platform's interfaces. */
export const platformConstants = {
  /** Variable with the path of the settings file. */
  settingsVariable: 'LYCHEETRACK_SETTINGS',
  configurationKey: 'op/config',
  configurationPrefix: 'op/',
  upstreamPrefix: 'servers/',
  /** Keys that the hosts write themselves. */
  hostPrefix: 'lycheetrack/hosts/',
  peerSecretKey: 'lycheetrack/peer-secret',
  /** A read or write of the store that is not answered within this time is given up. The usual answer takes 4 ms, a slow one some hundred. */
  storeCallTimeoutMs: 1500,
  /** Time beyond its own wait after which a watch counts as broken. */
  watchGraceMs: 700,
  /** Connections for reads and writes, besides one for each watch. */
  storeConnections: 2,
  connectTimeoutMs: 600,
  /** Longest wait that the store accepts for a watch. */
  maxWatchMs: 30_000,
  /** Answers of the store are at most about 1 MB of values, a third larger in base64. */
  maxStoreResponseBytes: 4_194_304
} as const
