/** Budget of repeated work. */
export const retryConstants = {
  /** Retries and hedges together may add this share of the work first sent. */
  workShare: 0.05,
  /** Unused budget is kept for this many milliseconds of work, so that a lost upstream can be retried at once. */
  recentWorkDecayMs: 30_000,
  /** Share of the kept budget that only retries may use. */
  retryReserve: 0.25,
  /** A probe of a slow upstream is sent while the budget covers this many times its hedge. */
  probeHedgeMultiple: 3
} as const
