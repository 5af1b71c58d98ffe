/** Constants of the process benchmark. */
export const benchConstants = {
  /** Bound of the design page: streamed tokens a second through one entry-host process on one core. */
  minTokensPerCore: 20_000,
  /** Bounds of the idle control cost of one host at the target size. */
  maxProcessorShare: 0.029,
  maxResidentBytes: 128e6,
  maxBytesPerSecond: 20e3,
  targetHosts: 340,
  idleHosts: [5, 10, 20],
  /** 1000 paced streams offer 24,400 tokens/s, more than the bound; 800 offer 19,500. */
  streams: { paced: [200, 400, 800, 1000], fast: [200, 400, 800] },
  /** Gap between the tokens of a paced stream. */
  pacedStepMs: 41,
  /** The fast engine generates far more than one process can relay; it writes every 20 ms. */
  fastStepMs: 2,
  fastTickMs: 20,
  /** Streams of a variant start one after the other at this rate. */
  streamStartsPerSecond: 400,
  /** Time after the last start until the figures of open streams count. */
  warmUpMs: 300,
  /** Shorter runs of all streams together say little, as processor time comes in ticks of 10 ms. */
  minWindowMs: 500,
  bucketMs: 50,
  delaySamples: 1000,
  delayWarmUp: 200,
  delayConcurrency: 4,
  shortRequests: 1000,
  shortConcurrency: 32,
  settleMs: 4000,
  idleMeasureMs: 8000,
  /** Long enough for the most tokens of a stream at the usual pace, which is what admission expects at first. */
  deadlineMs: 600_000,
  /** Linux reports processor time in ticks of 10 ms. */
  cpuTickMs: 10
} as const
