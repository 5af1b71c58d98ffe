import type { ClientAccount } from '../model/clientAccount.js'
import type { Route } from '../model/route.js'

/** Routes have the priorities 0 to 2; a higher number counts as 2. */
const routePriorityCount = 3
const lowestPriority = 9

/**
 * Computes the priority of a request, from 0, the most urgent, to 9. The priority of the account takes precedence;
 * among accounts of the same priority, the route decides.
 */
export function computeRequestPriority (route: Pick<Route, 'priority'>, account: ClientAccount | null): number {
  const accountPriority = account?.priority ?? 0
  const routePriority = Math.min(route.priority, routePriorityCount - 1)
  return Math.min(accountPriority * routePriorityCount + routePriority, lowestPriority)
}
