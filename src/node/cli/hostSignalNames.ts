/** Signals that a host handles. */
export const hostSignalNames = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const
