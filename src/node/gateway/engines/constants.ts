/** Parameters of the choice of a model engine. */
export const engineConstants = {
  /** Prompt tokens that an engine reads in a millisecond; engines reach 48 to 55. */
  prefillTokensPerMs: 50,
  /** Weight of an engine's prefill backlog: the request waits for it, and streams of the engine pause longer. */
  prefillBacklogWeight: 1.5,
  /** Upper limit of the estimated prefill backlog. */
  maxPrefillBacklogMs: 3000,
  /** Time that each request in progress adds to a new one, because all share the batch. */
  msPerRequestInFlight: 2,
  /**
   * Cost of a byte of stage results that crosses failure domains, in milliseconds of prefill: a megabyte costs as much
   * as about 350 tokens.
   */
  transferMsPerByte: 7 / 1_000_000,
  /** Weight of an engine's average time to the first event. */
  firstEventWeight: 0.2,
  /**
   * Margin in favour of the home engine of a prompt part, in times of its read at the median speed. 1.3 reads fewer
   * tokens again than 1 with equal times to the first event; with 2 and 3, those of quiet services grow
   * (docs/design/learned-capacity.md).
   */
  homeMarginWeight: 1.3,
  /** Upper limit of this margin: a request does not wait longer than this to spare a read. */
  maxHomeMarginMs: 200,
  /** Recent samples of the home engine from which the margin applies in full; a slow engine is recognized with three. */
  homeMarginSamples: 3,
  /** Engines without cached parts that are compared for a request. */
  maxComparedEngines: 128,
  /** Time for which a prompt part is expected to stay in an engine's cache. */
  cacheLifetimeMs: 30_000,
  /** Prompt parts that an index of the engines' caches remembers. */
  maxCachedParts: 32_768,
  /** Longest id of a prompt part that is remembered, in characters. */
  maxPartIdLength: 128,
  /** Share of the requests whose first event arrives within the time reserved for the engine. */
  reserveQuantile: 0.9,
  /** Step of the quantile estimate, in proportion to its value. */
  reserveStep: 0.1,
  initialReserveMs: 120,
  minReserveMs: 30,
  maxReserveMs: 1000,
  /**
   * Time from sending a request until its engine has fetched the stage results, which it does before it reads the
   * prompt. An engine that fetches them too late refuses the request without running it, and the stages run again.
   */
  inputFetchMs: 200,
  /** Timeout for the first event of an engine, for requests that may be sent again. */
  firstEventTimeoutMs: 2500
} as const
