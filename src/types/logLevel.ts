/** Severity of a log line, and the minimum severity that a logger writes. */
export type LogLevel = 'debug' | 'info' | 'warning' | 'error'
