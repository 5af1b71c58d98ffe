/** Parameters of the scheduling of stage work. */
export const stageConstants = {
  /** Work that arrives within this time shares a call: clients send in clumps, and the fixed part of a call is ten times as long. */
  batchDelayMs: 25,
  /**
   * Time from sending a call until its upstream has fetched the inputs: a call is sent to an idle upstream only, and
   * some hundred kilobytes take a few milliseconds. Until then the inputs are held.
   */
  inputFetchMs: 80,
  /** Weight of the newest wait in the average wait of a queue. */
  waitWeight: 0.1,
  /** Share of the jobs accepted as on time that shall end in time. */
  marginQuantile: 0.8,
  /** Step by which the margin of the estimate follows its error; a crest has some hundred jobs. */
  marginStepMs: 20,
  initialMarginMs: 0,
  minMarginMs: -100,
  maxMarginMs: 400,
  /** Each step of priority counts as this much time to spare. */
  priorityStepMs: 300,
  /** Late work whose inputs have waited for this time goes along with work on time, before they expire. */
  maxInputAgeMs: 1500,
  /** Inputs above this size are taken where they lie: results that cross failure domains are dear. */
  largeInputBytes: 300_000,
  /** A heavy result of a first stage; it is made where the engine is wanted. */
  largeResultBytes: 200_000,
  /** A task with this much time to spare waits for an upstream in the domain of its inputs. */
  minDomainWaitSlackMs: 150,
  /** Longest such wait: about one call. */
  maxDomainWaitMs: 350,
  /** A call that takes this many times its expected duration is given up; neighbours slow upstreams by up to five times for seconds. */
  callTimeoutFactor: 3,
  callTimeoutMarginMs: 300,
  /** First pause after a failed call to an upstream; doubles up to the maximum. */
  backoffMs: 200,
  maxBackoffMs: 3000,
  /** Pause of an upstream that has no room for results. */
  memoryFullPauseMs: 250,
  /** Weight of the newest call in the estimate of an upstream's slowdown. */
  slowdownWeight: 0.3,
  /** Results are released in one call for each upstream and this time. */
  releaseDelayMs: 30,
  /** A scheduling host that did not answer is passed over for this time. */
  avoidHostMs: 3000,
  /** Time beyond a job's deadline until its scheduling host must have answered. */
  peerTimeoutMarginMs: 300,
  peerCallTimeoutMs: 1000,
  /** Time after which unreleased results of a completed job are given up: the host that asked for them is gone. */
  maxResultAgeMs: 6000,
  /** Failed sendings after which a job fails. */
  maxPieceFailures: 6,
  /** Times that a job begins again because results were lost. */
  maxJobRetries: 2,
  /** Share of the remaining time within which late work must be expected to finish in order to be accepted. */
  lateDeadlineShare: 0.8,
  /** Idle upstreams of a service that late work alone leaves to work on time. */
  idleReservedForOnTime: 1,
  /** Longest expected wait of late work. */
  maxLateWaitMs: 2500,
  /** Share of the capacity that late work counts on even when all of it is in use. */
  minLateCapacityShare: 0.1,
  /** Late work begins when the pieces in progress at each of its services are fewer than this number of full calls by all upstreams. */
  maxCommittedBatchesPerUpstream: 1,
  /** Window of the measured load. */
  loadWindowMs: 1000,
  /** Bounds of the pause that a refused client is told. */
  minRetryAfterMs: 300,
  maxRetryAfterMs: 6000,
  /** Weight of a piece's newest measured duration relative to the declared one. */
  pieceFactorStep: 0.05,
  minPieceFactor: 0.1,
  maxPieceFactor: 4
} as const
