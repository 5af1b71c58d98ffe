import { requestConstants } from './constants.js'

/**
 * Computes the time in milliseconds after which a stage should get a second attempt. It is the stage's share of the
 * remaining time, in proportion to the duration quantiles of the stages on the remaining path. It is limited to three
 * times the stage's own quantile or, while that is unknown, to five times the router's prediction. `quantiles[0]`
 * belongs to the stage itself.
 */
export function computeStageBudget (remainingMs: number, quantiles: ReadonlyArray<number | undefined>, predictedMs: number): number {
  const observed = quantiles.filter(value => value !== undefined)
  const meanObserved = observed.length === 0 ? 1 : observed.reduce((sum, value) => sum + value, 0) / observed.length
  const path = quantiles.map(value => value ?? meanObserved)
  const total = Math.max(path.reduce((sum, value) => sum + value, 0), 1e-9)
  const share = remainingMs * (path[0] ?? total) / total
  const ownQuantile = quantiles[0]
  const bound = Math.min(share, ownQuantile === undefined ? Math.max(requestConstants.minimumInitialBudgetMs, 5 * predictedMs) : 3 * ownQuantile)
  return Math.min(remainingMs, Math.max(requestConstants.minimumBudgetMs, bound))
}
