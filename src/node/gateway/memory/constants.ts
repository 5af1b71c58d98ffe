/** Parameters of the memory that a host allows for requests. */
export const memoryConstants = {
  /** Resident memory of a process that serves requests, without their bodies. */
  processBytes: 167_772_160,
  /** Share of the rest of the machine that bodies may take; answers and uncollected buffers need the remainder. */
  bodyShare: 3 / 8,
  /** Least memory for bodies, for hosts on the smallest machines. */
  minBodyBytes: 8_388_608,
  /** Share of the heap limit that heads may take. */
  heapShare: 1 / 4,
  /** Share of the machine's memory that heads may take. */
  headShare: 1 / 10,
  /** Heap that a request takes besides the strings of its head. */
  requestOverheadBytes: 8192,
  /** Heap that a header field takes besides its characters: two strings, and their places in lists. */
  fieldOverheadBytes: 128,
  /** A group may hold this multiple of the memory that is left for others. */
  freeMultiple: 2,
  /**
   * Share of the heap limit, which includes the young generation, above which no request is taken. V8 ends a process
   * whose old generation stays above 80% of its limit, 0.61 of the heap limit, when collections free little.
   */
  heapFullShare: 0.5,
  /** Share at which requests are taken again. */
  heapResumeShare: 0.42,
  /** Share of the time in which garbage is collected to measure what is live; one collection takes up to 0.15 s. */
  collectShare: 0.2,
  /** Least time between two of these collections. */
  minCollectIntervalMs: 100,
  /** Bytes of a head that a connection may always send; with the fields of most requests, a head is shorter. */
  maxUnfinishedHeadBytes: 1024,
  /** Heads are checked as they come in while the open connections together may send more than this. */
  minGatedBytes: 4_194_304,
  /** Interval at which connections that hold an unfinished head are looked for. */
  unfinishedHeadCheckMs: 100,
  /** Interval of the log lines while memory for requests, or of the process, is nearly used up. */
  logIntervalMs: 10_000,
  /** Interval at which the memory of the process is checked. */
  watchIntervalMs: 1000,
  /** Share of the machine's memory at which the process is logged as near its limit. */
  warningShare: 0.85,
  /** The same share of the heap limit: V8 may end the process from 0.61 on. */
  heapWarningShare: 0.6
} as const
