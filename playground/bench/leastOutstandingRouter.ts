import type { Random } from '../../src/types/random.js'
import type { Upstream } from '../../src/types/upstream.js'
import { BaselineRouter } from './baselineRouter.js'

/**
 * Baseline: chooses the upstream with the fewest outstanding attempts of this host. Upstreams with `maxOutstanding`
 * attempts are left out; work waits at the host when there is no other.
 */
export class LeastOutstandingRouter extends BaselineRouter {
  constructor (random: Random, private readonly maxOutstanding: (pool: string) => number) {
    super(random)
  }

  protected choose (pool: string, candidates: readonly Upstream[]): Upstream | undefined {
    const start = Math.floor(this.random() * candidates.length)
    let best: Upstream | undefined
    let minOutstanding = this.maxOutstanding(pool)
    for (let i = 0; i < candidates.length; i++) {
      const candidate = candidates[(start + i) % candidates.length] as Upstream
      const outstanding = this.getOutstanding(candidate.id)
      if (outstanding >= minOutstanding) continue
      best = candidate
      minOutstanding = outstanding
    }
    return best
  }
}
