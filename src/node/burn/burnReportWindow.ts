import type { BurnCounts } from './burnCounts.js'

/** Counts of a window with the attainment and burn rate derived from them. */
export interface BurnReportWindow extends BurnCounts {
  /** Share of requests within the objective, 0 to 1; null without requests. */
  readonly attainment: number | null
  /** Burn rate of the error budget: 1 spends exactly the whole budget over its period. Null without requests or objective. */
  readonly burnRate: number | null
}
