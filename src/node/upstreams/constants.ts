/** Limits and timeouts of connections to upstreams. */
export const upstreamConstants = {
  /**
   * Maximum number of open calls and streams from one host to one upstream. Further calls are refused before they are
   * sent.
   */
  maxConnections: 512,
  connectTimeoutMs: 1000,
  /** Time for which a connection is kept unused when the upstream states none. */
  idleTimeoutMs: 4000,
  /**
   * Time without data after which a stream is resumed on a new connection: four missed comment lines, which engines
   * send every 500 ms.
   */
  streamSilenceMs: 2000,
  /** Maximum interval at which open streams are checked for silence. */
  silenceCheckIntervalMs: 250,
  /** Time for an engine to end the HTTP response of a finished stream before the connection is closed. */
  finishedResponseTimeoutMs: 1000,
  /** Maximum number of consecutive reconnects of a stream that yield no token, before the attempt fails. */
  maxResumesWithoutProgress: 3,
  /** Maximum number of out-of-order tokens buffered until the missing ones arrive. */
  maxOutOfOrderTokens: 256,
  /** Maximum size of an unterminated SSE line; a longer one is a protocol error. */
  maxLineBytes: 65536,
  /** Bytes of comments and repeated tokens after which a stream is given up; engines send a comment each 500 ms. */
  maxBytesWithoutToken: 262_144,
  /** Tokens of each stream that do not count in the memory for answers: many sound streams must not evict each other. */
  uncountedTokenBytes: 65_536,
  maxResponseBytes: 4 * 1024 * 1024,
  /** Memory for all answers that are being collected, with the tokens of open streams. */
  answerMemoryBytes: 8 * 1024 * 1024,
  probeIntervalMs: 1000,
  probeTimeoutMs: 900
} as const
