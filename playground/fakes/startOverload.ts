import type { LimitCluster } from './limitCluster.js'

/**
 * Starts a load above the contracts of both accounts. The small account sends 5 times its contract because arrivals are
 * random: at 3.2 times, even a single central token bucket with the same burst grants only 94% in some window of one of
 * 20 seeds; at 5 times it stays above 96%.
 */
export function startOverload (cluster: LimitCluster, chooseHost: () => string): void {
  cluster.startLoad('large', 160, chooseHost)
  cluster.startLoad('small', 25, chooseHost)
}
