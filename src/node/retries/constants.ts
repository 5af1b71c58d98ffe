/** Limits of the retry budget. */
export const retryConstants = {
  /** Retries and hedges together may add this share of the work of first attempts. */
  workShare: 0.05,
  /**
   * Unused budget is kept, up to `workShare` of the recent work, so that the work of a lost upstream can be retried at
   * once. The recent work decays exponentially with this time constant.
   */
  recentWorkDecayMs: 30_000,
  /** Share of the budget cap that only retries may use. */
  retryReserve: 0.25,
  /**
   * The budget has headroom to probe a slow upstream with a request while it covers this many times the cost of a hedge
   * for that request, on top of the reserve for retries.
   */
  probeHedgeMultiple: 3
} as const
