import type { Random } from '../../src/types/random.js'
import type { Upstream } from '../../src/types/upstream.js'
import { BaselineRouter } from './baselineRouter.js'

/** Baseline: the upstream with the fewest own attempts; with `maxOutstanding`, work waits at the host beyond that number. */
export class LeastOutstandingRouter extends BaselineRouter {
  constructor (random: Random, private readonly maxOutstanding: (pool: string) => number) {
    super(random)
  }

  protected choose (pool: string, candidates: readonly Upstream[]): Upstream | undefined {
    const start = Math.floor(this.random() * candidates.length)
    let best: Upstream | undefined
    let least = this.maxOutstanding(pool)
    for (let i = 0; i < candidates.length; i++) {
      const candidate = candidates[(start + i) % candidates.length] as Upstream
      const outstanding = this.getOutstanding(candidate.id)
      if (outstanding >= least) continue
      best = candidate
      least = outstanding
    }
    return best
  }
}
