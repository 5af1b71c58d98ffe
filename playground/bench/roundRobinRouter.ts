import type { Upstream } from '../../src/types/upstream.js'
import { BaselineRouter } from './baselineRouter.js'

/** Baseline: chooses the upstreams of a pool in turn, from a random start. */
export class RoundRobinRouter extends BaselineRouter {
  private readonly next = new Map<string, number>()

  protected choose (pool: string, candidates: readonly Upstream[]): Upstream | undefined {
    const at = this.next.get(pool) ?? Math.floor(this.random() * candidates.length)
    this.next.set(pool, at + 1)
    return candidates[at % candidates.length]
  }
}
