/** Constants of the upstream adapters. */
export const upstreamConstants = {
  /** Open calls and streams per upstream from one host; further calls are refused before they are sent. */
  maxConnections: 512,
  connectTimeoutMs: 1000,
  /** Engines send a comment line every 500 ms, so four missing lines mean a silent connection. */
  streamSilenceMs: 2000,
  watchdogIntervalMs: 250,
  /** Time for an engine to end the response of a finished stream. */
  finishedResponseTimeoutMs: 1000,
  /** Resumes of one stream without progress before the attempt fails. */
  maxResumesWithoutProgress: 3,
  /** Tokens held back until a gap in the offsets closes. */
  maxOutOfOrderTokens: 256,
  /** An unfinished SSE line beyond this size is a protocol fault. */
  maxLineBytes: 65536,
  maxResponseBytes: 4 * 1024 * 1024,
  probeIntervalMs: 1000,
  probeTimeoutMs: 900
} as const
