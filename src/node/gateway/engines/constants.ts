/** Parameters of the choice of a model engine. */
export const engineConstants = {
  /** Prompt tokens that an engine reads in a millisecond; measured engines read 48 to 55. */
  prefillTokensPerMs: 50,
  /** Time that each request in progress adds for a new one, as all share the batch. */
  shareMs: 4,
  /** Cost of stage results that cross failure domains, in milliseconds. */
  crossDomainMs: 400,
  /** Time for which a prompt part is expected to stay in an engine's cache. */
  cacheLifeMs: 30_000,
  /** Prompt parts remembered for each engine. */
  maxParts: 4000,
  /** An engine without a first event for this time is given up, when the request may be sent again. */
  firstEventTimeoutMs: 2500
} as const
