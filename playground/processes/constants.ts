/** Constants of the processes of a deployment. */
export const processConstants = {
  startTimeoutMs: 20_000,
  /** Time from SIGTERM to SIGKILL. An entry host drains for its route lifetime plus 1 s, and until its requests have ended. */
  stopTimeoutMs: 15_000,
  pollIntervalMs: 50,
  controlTimeoutMs: 2000,
  /** Variables that processes on the platform inherit; others change the start of the runtime. */
  platformVariables: ['PATH', 'HOME', 'JAVA_HOME', 'LANG'] as readonly string[],
  /** Lines of standard error that are kept for error messages. */
  maxErrorLines: 200,
  /** Ports below the usual ephemeral range, so that no outgoing connection takes one before it is used. */
  firstPort: 20_001,
  portCount: 12_000
} as const
