/** Limits of the log output. */
export const logConstants = {
  /** Size of the output buffer; lines that exceed it are dropped while the reader of standard output is slow. */
  maxBufferedBytes: 1_048_576,
  /** Lines with the same message per second; a host serves about 20 requests per second on average and 100 at a peak. */
  maxLinesPerSecond: 200,
  windowMs: 1000,
  /** Time for writing the last lines before the process ends. */
  maxFlushMs: 200
} as const
