import type { BurnCounts } from './burnCounts.js'

/** Counts of a window with the figures derived from them. */
export interface BurnReportWindow extends BurnCounts {
  /** Share of requests within the objective, 0 to 1; null without requests. */
  readonly attainment: number | null
  /** Rate at which the error budget is spent: 1 spends it exactly over the period. Null without requests or objective. */
  readonly burnRate: number | null
}
