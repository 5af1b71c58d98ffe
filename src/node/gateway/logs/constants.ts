/** Bounds of the log. */
export const logConstants = {
  /** Lines beyond this are dropped while the reader of standard output is slow. */
  maxBufferedBytes: 1_048_576,
  /** Lines of one kind in a second; a host serves about 20 requests a second at the mean and 100 at a crest. */
  maxLinesPerSecond: 200,
  windowMs: 1000
} as const
