import { requestConstants } from './constants.js'

/**
 * Time in milliseconds that a stage may take before a second attempt is worthwhile: its share of the
 * remaining time, in proportion to the past durations of the stages on the remaining path, and never
 * more than three times its own past duration, or five times the router's prediction as long as there
 * is no past. `quantiles[0]` belongs to the stage itself.
 */
export function computeStageBudget (remainingMs: number, quantiles: ReadonlyArray<number | undefined>, predictedMs: number): number {
  const known = quantiles.filter(value => value !== undefined)
  const typical = known.length === 0 ? 1 : known.reduce((sum, value) => sum + value, 0) / known.length
  const path = quantiles.map(value => value ?? typical)
  const total = Math.max(path.reduce((sum, value) => sum + value, 0), 1e-9)
  const share = remainingMs * (path[0] ?? total) / total
  const own = quantiles[0]
  const bound = Math.min(share, own === undefined ? Math.max(requestConstants.minimumInitialBudgetMs, 5 * predictedMs) : 3 * own)
  return Math.min(remainingMs, Math.max(requestConstants.minimumBudgetMs, bound))
}
