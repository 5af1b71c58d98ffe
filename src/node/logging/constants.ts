/** Constants of the logger. */
export const loggingConstants = {
  levels: { debug: 20, info: 30, warning: 40, error: 50 },
  /** The value of a field whose name matches is never written. */
  secretField: /(token|secret|authorization|password|cookie)$/i,
  /** Longer field values are truncated, so that no caller can inflate the log. */
  maxFieldLength: 2000,
  /** Lines are dropped and counted while more than this is buffered for a slow reader of standard error. */
  maxBufferedBytes: 4_194_304
} as const
