/** Lowest level of the lines that are written. */
export type LogLevel = 'debug' | 'info' | 'warning' | 'error'
