/** Parameters of stage scheduling. */
export const stageConstants = {
  /** Fewest upstreams of each stage service in a scheduling cell: with two, a lost or slow one would halve the cell. */
  minUpstreamsPerCell: 3,
  /** Delay from the arrival of a job to the planning of calls, so that requests sent in bursts share calls; the fixed part of a call is ten times as long. */
  batchDelayMs: 25,
  /**
   * Time from sending a call until its upstream has fetched the inputs, which are kept until then. Calls go to idle
   * upstreams only, and a few hundred kilobytes take a few milliseconds.
   */
  inputFetchMs: 80,
  /** Weight of the newest wait in the moving average of the waits in a queue. */
  waitWeight: 0.1,
  /** Share of the jobs accepted as on time that should finish by their target. */
  marginQuantile: 0.8,
  /** Step by which the margin follows the error of the estimate; a load peak has a few hundred jobs. */
  marginStepMs: 20,
  initialMarginMs: 0,
  minMarginMs: -100,
  maxMarginMs: 400,
  /** Time without a job accepted on time after which the margin decays; the pauses between jobs of a quiet site are shorter. */
  marginRestMs: 2000,
  /** Time in which the margin then halves. */
  marginHalfLifeMs: 1000,
  /** Added to the arrival time of a job in the queue order for each priority level below the most urgent one. */
  priorityStepMs: 300,
  /**
   * Offset in the queue order for each millisecond that a job takes of a service as a whole; jobs of a peak take 5 to
   * 100 ms.
   */
  costWeight: 10,
  /** Largest such offset: two levels of priority, so that a large job waits for later ones for a bounded time. */
  maxCostOffsetMs: 600,
  /** Work of jobs that hold a result of this age goes first, before the result expires. */
  maxResultWaitMs: 1500,
  /** Inputs from this size on are processed in the failure domain that holds them, because transfers between domains are expensive. */
  largeInputBytes: 300_000,
  /** Results of a first stage from this size on are produced in the failure domain preferred for the engine. */
  largeResultBytes: 200_000,
  /** Slack above which an on-time task waits for an upstream in the domain of its inputs. Also the longest interval between plannings while tasks are ready. */
  minDomainWaitSlackMs: 150,
  /** Longest wait for an upstream in the domain of the inputs: about one call. */
  maxDomainWaitMs: 350,
  /** Multiple of the expected duration after which a call times out; noisy neighbours slow upstreams by up to five times for seconds. */
  callTimeoutFactor: 3,
  /** Added to the timeout of every call. */
  callTimeoutMarginMs: 300,
  /** Pause of an upstream after its first failed call; doubles with each further failure up to the maximum. */
  backoffMs: 200,
  maxBackoffMs: 3000,
  /** Pause of an upstream that has reported no memory for results. */
  memoryFullPauseMs: 250,
  /** Steps of the usable share of result memory: a fiftieth of the calls that fill the memory may lack some. */
  roomStepDown: 0.01,
  roomStepUp: 0.0002,
  /** Result sizes that vary by a quarter need 0.9 with 20 results in the memory of an upstream. */
  minRoomShare: 0.8,
  /**
   * A job starts while the pieces of started jobs at its later services take at most this share of the lifetime of
   * results.
   */
  startLifetimeShare: 0.5,
  /** Weight of the newest call in the moving average of an upstream's slowdown. */
  slowdownWeight: 0.3,
  /** Interval in which the releases for one receiver are collected into one call. */
  releaseDelayMs: 30,
  /** Time for which a scheduling host that did not answer is not chosen again. */
  avoidHostMs: 3000,
  /** Time after a job's deadline within which its scheduling host must have answered. */
  peerTimeoutMarginMs: 300,
  /** Time within which a scheduling host must accept a session: connecting takes two round trips, a start of the process more. */
  sessionConnectMs: 600,
  /** A session that was not used for this long is closed when another one is opened: its host no longer schedules. */
  sessionIdleMs: 30_000,
  /**
   * Answers of each upstream that are remembered to recognize a second copy: those of some calls a second, while a
   * connection is idle.
   */
  recentAnswers: 256,
  /** Largest answer to a stage call: a fixed part and a handle or a reason for each piece. */
  answerBaseBytes: 4096,
  answerBytesPerPiece: 1024,
  /** Timeout and largest answer of a release. */
  releaseTimeoutMs: 1000,
  maxReleaseAnswerBytes: 65_536,
  /** Time after which unreleased results of a completed job are released: the host that requested them is gone. */
  maxResultAgeMs: 6000,
  /** Failed sends per piece of a stage after which a job fails. */
  maxPieceFailures: 6,
  /** A result counts as lost this long before it expires: the next call takes it some milliseconds later. */
  resultExpiryMarginMs: 50,
  /** Times that stages of a job run again because their results were lost. */
  maxJobRetries: 2,
  /** Late work is accepted only if it is expected to finish within this share of the time to its deadline. */
  lateDeadlineShare: 0.8,
  /** Idle upstreams of a service that late work leaves to on-time work. */
  idleReservedForOnTime: 1,
  /** Longest expected wait with which late work is accepted. */
  maxLateWaitMs: 2500,
  /** Share of the capacity that the estimate for late work assumes even when all capacity is in use. */
  minLateCapacityShare: 0.1,
  /** Late work starts only while each of its services has fewer committed pieces than this many full calls to each of its upstreams. */
  maxCommittedBatchesPerUpstream: 1,
  /** Window over which the rate of sent pieces is averaged. */
  loadWindowMs: 1000,
  /** Bounds of the retry delay that a refused client receives. */
  minRetryAfterMs: 300,
  maxRetryAfterMs: 6000,
  /** Step size of the estimate of piece durations relative to the declared duration. */
  pieceFactorStep: 0.05,
  minPieceFactor: 0.1,
  maxPieceFactor: 4,
  /**
   * Longest time between two calls to an upstream that has named a limit, after which one shows whether it still holds.
   */
  maxCallIntervalMs: 20_000
} as const
