import { capacityConstants } from './constants.js'
import { computeFillLevel } from './computeFillLevel.js'

/**
 * Divides the work that engines can read among priorities and their accounts. `classes` has the demands of the accounts
 * of each priority, the most urgent first, and `admittedShare` is the part of the whole demand that is admitted.
 * Returns, for each priority, the level up to which the demand of an account is met.
 *
 * A small part is divided equally among priorities, so that none is starved; the rest goes to the most urgent ones.
 * Within a priority, accounts get equal parts of the work, so one that sends far more than the others is refused more.
 */
export function computeFillLevels (
  classes: ReadonlyArray<readonly number[]>,
  admittedShare: number
): readonly number[] {
  const demands = classes.map(accounts => accounts.reduce((sum, demand) => sum + demand, 0))
  const budget = demands.reduce((sum, demand) => sum + demand, 0) * Math.min(admittedShare, 1)
  const leastLevel = computeFillLevel(demands, budget * capacityConstants.equalClassShare)
  let left = budget - demands.reduce((sum, demand) => sum + Math.min(demand, leastLevel), 0)
  return classes.map((accounts, index) => {
    const least = Math.min(demands[index]!, leastLevel)
    const more = Math.min(demands[index]! - least, left)
    left -= more
    return computeFillLevel(accounts, least + more)
  })
}
