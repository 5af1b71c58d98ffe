import { hashText } from '../../../shared/hashText.js'
import type { RouteTarget } from '../model/routeTarget.js'

/**
 * Chooses the service of a request in proportion to the weights, by a hash of the request id: a request always gets the
 * same service.
 */
export function chooseTarget (targets: readonly RouteTarget[], requestId: string): string {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let point = hashText(requestId) / 0x100000000 * total
  for (const target of targets) {
    point -= target.weight
    if (point < 0) return target.service
  }
  // When all weights are 0, the last target is chosen. A route without targets gets an empty service name.
  return targets.at(-1)?.service ?? ''
}
