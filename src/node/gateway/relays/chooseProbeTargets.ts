import type { ProbeTarget } from './probeTarget.js'
import type { Random } from '../../../types/random.js'

/**
 * Chooses upstreams to probe, of as many services as possible: when one service has ended as a whole, the others still
 * show that the links work. Of a service, those without requests in progress come first: an upstream that does not
 * answer its requests shows nothing.
 */
export function chooseProbeTargets (
  targets: readonly ProbeTarget[],
  count: number,
  random: Random
): readonly ProbeTarget[] {
  const shuffled = targets
    .map(target => ({ target, order: target.inProgress + random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ target }) => target)
  const seenCounts = new Map<string, number>()
  return shuffled
    .map(target => {
      const rank = seenCounts.get(target.service) ?? 0
      seenCounts.set(target.service, rank + 1)
      return { target, rank }
    })
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({ target }) => target)
}
