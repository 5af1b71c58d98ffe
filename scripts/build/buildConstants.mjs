/** Limits of a build. The deploy file allows it 15 minutes, the wait for another one included. */
export const buildConstants = {
  lock: {
    /** Interval at which the holder of the lock shows that it still works. */
    renewalMs: 1000,
    /** Time without a renewal after which the holder counts as ended; it may have been slowed by load. */
    expiryMs: 10_000,
    pollMs: 100,
    /** Pause after which a process that has replaced the lock looks whether another one did the same. */
    settlingMs: 200,
    waitTimeoutMs: 12 * 60_000
  },
  installationTimeoutMs: 10 * 60_000,
  /** Age at which an installation is one that was cut off. */
  abandonedInstallationAgeMs: 15 * 60_000,
  /** Time for which the program of an earlier build stays for a start that has read its entry file. */
  supersededFileRetentionMs: 10 * 60_000
}
