/** Constants of the process benchmark. */
export const benchConstants = {
  /** Bound of the design page: streamed tokens a second through one entry-host process on one core. */
  leastTokensPerCore: 20_000,
  /** Bounds of the idle control cost of one host at the target size. */
  largestProcessorShare: 0.029,
  largestResidentBytes: 128e6,
  largestBytesPerSecond: 20e3,
  targetHosts: 340,
  idleHosts: [5, 10, 20],
  /** 1000 paced streams offer 24,400 tokens/s, more than the bound; 800 offer 19,500. */
  streams: { paced: [200, 400, 800, 1000], fast: [200, 400, 800] },
  /** Gap between the tokens of a paced stream. */
  pacedStepMs: 41,
  /** The fast engine generates far more than one process can relay; it writes every 20 ms. */
  fastStepMs: 2,
  fastTickMs: 20,
  /**
   * Longer than any stream. Before the first answers a generation is predicted at half of this with 20 ms a token;
   * admission refuses a kind whose prediction exceeds its deadline.
   */
  maxTokens: 5000,
  /** Streams start one after the other within this time. */
  spreadMs: 1000,
  bucketMs: 50,
  delaySamples: 1000,
  delayWarmUp: 200,
  delayConcurrency: 4,
  shortRequests: 1000,
  shortConcurrency: 32,
  settleMs: 4000,
  idleMeasureMs: 8000,
  deadlineMs: 60_000,
  /** Linux reports processor time in ticks of 10 ms. */
  tickMs: 10
} as const
