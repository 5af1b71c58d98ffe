/** Parameters of the fault-injection soak test. */
export const soakConstants = {
  /** Fault-free time at the end of a run, in which service must recover: twice the lifetime of a host's lease. */
  recoveryMs: 8000,
  /** Only requests that are sent in this last part of the recovery time are checked for recovery. */
  recoveryWindowMs: 3000,
  /** Share of those requests that must be served, as the platform's rules state. */
  minRecoveredShare: 0.25,
  /** Tolerance by which the time budget that an upstream is given may exceed the client's, as the platform's rules state. */
  timeLeftSlackMs: 500,
  gracePeriodMs: 3000,
  /** Bounds that the platform's rules name. */
  stableWindowMs: 3000,
  configurationMs: 2000,
  drainMs: 2000,
  evacuationMs: 1500,
  /** Time for which a draining upstream serves beyond `drainMs`. */
  leaveMarginMs: 1000,
  /** Time for which the store is away before it comes back from a copy, and until lost hosts start again. */
  storeAwayMs: 500,
  /** Time after the return of the store within which hosts have written again what is theirs. */
  storeReturnMs: 2000,
  lossSlackMs: 200,
  /** Time after which a process that ended by itself is started again. */
  restartDelayMs: 1000,
  /** Processor time from the first line of a program within which it must handle signals. */
  handlerStartMs: 10,
  /** Time after the start of the runtime in which signals count as sent during the start. */
  startMs: 500,
  sampleIntervalMs: 500,
  /** Interval at which the soak's own process is checked, and the time from which on it was held up. */
  loopCheckMs: 20,
  minHeldUpMs: 50,
  /** A process that waited longer for a processor between two samples was slowed. */
  slowedWaitMs: 200,
  /** A host must have said that it is ready within this time before the end of a run. */
  readyWindowMs: 3000,
  maxBodyBytes: 4_194_304,
  /** Largest body of a client that pipelines, and the longest time for which it holds back the last byte of a batch. */
  maxClientBodyBytes: 300_000,
  maxHeldBodyMs: 1000,
  /** Answer to a client that reads it late: more than its socket holds. */
  largeAnswerBytes: 1_500_000,
  /** Longest time that a client that pipelines asks an upstream to work. */
  maxWorkMs: 400,
  /** Events of a complete stream. */
  eventCount: 8,
  eventIntervalMs: 25,
  /** Pause between the events of streams that clients resume. */
  longEventIntervalMs: 150,
  /** Longest pause of a client before it resumes a stream. */
  maxResumePauseMs: 1000,
  /** Time that an upstream works on a request before it answers. */
  answerDelayMs: 15,
  /** Longest pause of a client between two requests. */
  maxClientPauseMs: 40,
  clientTimeoutMs: 2500,
  directoryTimeoutMs: 1000,
  /** Time for which clients use the addresses from the host directory before they ask again. */
  addressLifetimeMs: 2000
} as const
