/** Signals that a host handles. */
export const hostSignalNames = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const
