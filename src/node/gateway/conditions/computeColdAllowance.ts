import { conditionConstants } from './constants.js'
import type { ColdAllowance } from './coldAllowance.js'
import type { ColdBound } from '../model/coldBound.js'

/**
 * Divides what a cold upstream takes from all hosts together, so that it also holds while half of the hosts disagree
 * about which of them share: `coldViews` times as many may do so. A host that sends `n` evenly spaced requests a second
 * sends at most `n` in any second. Together, the hosts that share stay within the stated rate without its overage.
 */
export function computeColdAllowance (coldRate: number, { overage, slack }: ColdBound): ColdAllowance {
  const { coldHosts, coldViews, coldShareUsed } = conditionConstants
  const bound = coldRate * overage + slack
  // A bound that gives less than one request to each of several hosts is left to one of them.
  const hostCount = bound >= coldHosts * coldViews ? coldHosts : 1
  const requestsInSecond = Math.floor(bound / (hostCount * coldViews))
  return { hostCount, requestsPerSecond: Math.min(requestsInSecond * coldShareUsed, coldRate / hostCount) }
}
