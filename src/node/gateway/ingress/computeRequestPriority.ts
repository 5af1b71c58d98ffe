import type { ClientAccount } from '../model/clientAccount.js'
import type { Route } from '../model/route.js'

/** Routes have the priorities 0 to 2. */
const routePriorities = 3
const lowestUrgency = 9

/**
 * Rank of a request from 0, the most urgent, to 9. The priority of an account goes before that of the route; among
 * accounts of the same priority, the route decides.
 */
export function computeRequestPriority (route: Route, account: ClientAccount | null): number {
  const accountPriority = account?.priority ?? 0
  return Math.min(accountPriority * routePriorities + Math.min(route.priority, routePriorities - 1), lowestUrgency)
}
