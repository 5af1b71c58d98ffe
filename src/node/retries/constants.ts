/** Limits of the retry budget. */
export const retryConstants = {
  /** Retries and hedges together may add this share of the work of first attempts. */
  workShare: 0.05,
  /**
   * Time constant of the recent work that caps the unused budget. Unused budget is kept so that the work of a lost
   * upstream can be retried at once.
   */
  recentWorkDecayMs: 30_000,
  /** Share of the budget cap that only retries may use. */
  retryReserve: 0.25,
  /** A probe of a slow upstream is sent while the budget covers this many times the cost of its hedge. */
  probeHedgeMultiple: 3
} as const
