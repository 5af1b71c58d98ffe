/** Parameters of the choice of a model engine. */
export const engineConstants = {
  /** Prompt tokens that an engine reads in a millisecond; measured engines read 48 to 55. */
  prefillTokensPerMs: 50,
  /** Weight of the time that an engine still reads other prompts: the request waits for it, and streams there pause longer. */
  prefillBacklogWeight: 1.5,
  maxPrefillBacklogMs: 3000,
  /** Time that each request in progress adds for a new one, as all share the batch. */
  msPerRequestInFlight: 2,
  /** Cost of a byte of stage results that crosses failure domains, in milliseconds of reading: a megabyte is worth about 350 tokens. */
  transferMsPerByte: 7 / 1_000_000,
  /** Part of an engine's measured time to the first event that counts against it. */
  firstEventWeight: 0.2,
  /** Time for which a prompt part is expected to stay in an engine's cache. */
  cacheLifetimeMs: 30_000,
  /** Prompt parts remembered for each engine. */
  maxPartsPerEngine: 4000,
  /** Share of the requests whose first event comes within the time reserved for it. */
  reserveQuantile: 0.9,
  reserveStep: 0.1,
  initialReserveMs: 120,
  minReserveMs: 30,
  maxReserveMs: 1000,
  /**
   * Time from sending a request until its engine has fetched the results of the stages, which it does before it reads
   * the prompt. One that comes too late refuses without running, and the stages run again.
   */
  inputFetchMs: 200,
  /** An engine without a first event for this time is given up, when the request may be sent again. */
  firstEventTimeoutMs: 2500
} as const
