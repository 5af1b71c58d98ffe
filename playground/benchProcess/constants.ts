/** Constants of the process benchmark. */
export const benchConstants = {
  /** Bound of the design page: streamed tokens a second through one entry-host process on one core. */
  minTokensPerCore: 20_000,
  /** Bounds of the CPU time, memory and traffic of one idle host at the target size. */
  maxProcessorShare: 0.029,
  maxResidentBytes: 128e6,
  maxBytesPerSecond: 20e3,
  targetHosts: 340,
  /** Fleet sizes whose idle hosts are measured. */
  idleHosts: [5, 10, 20],
  /** Numbers of concurrent streams. 1000 paced streams offer 24,400 tokens/s, more than the bound; 800 offer 19,500. */
  streams: { paced: [200, 400, 800, 1000], fast: [200, 400, 800] },
  /** Gap between the tokens of a paced stream. */
  pacedStepMs: 41,
  /** The fast engine generates far more than one process can relay; it writes every 20 ms. */
  fastStepMs: 2,
  fastTickMs: 20,
  /** Streams of a variant start one after the other at this rate. */
  streamStartsPerSecond: 400,
  /** Time after the last start of a stream until the measurement window begins. */
  warmUpMs: 300,
  /** A shorter measurement window is too imprecise, as CPU time comes in ticks of 10 ms; the whole run is measured instead. */
  minWindowMs: 500,
  /** Interval at which tokens are summed up and CPU time is read. */
  bucketMs: 50,
  /** Requests to measure the delay of plain stages, and requests before that to warm up. */
  delaySamples: 1000,
  delayWarmUp: 200,
  delayConcurrency: 4,
  /** Requests to measure the CPU time of a request of one token. */
  shortRequests: 1000,
  shortConcurrency: 32,
  /** Time after the start of a fleet until its idle hosts are measured. */
  settleMs: 4000,
  idleMeasureMs: 8000,
  /** Long enough for the maximum number of tokens of a stream at the usual pace, which admission expects at first. */
  deadlineMs: 600_000,
  /** Linux reports CPU time in ticks of 10 ms. */
  cpuTickMs: 10
} as const
