import type { LimitCluster } from './limitCluster.js'

/**
 * Starts requests for more than the contracts of both accounts. They come at random times: at 3.2 times the rate of the
 * small account even one central token bucket with the same burst falls to 94% in a window of one of 20 seeds; at
 * 5 times it stays above 96%.
 */
export function startOverload (cluster: LimitCluster, chooseHost: () => string): void {
  cluster.startLoad('large', 160, chooseHost)
  cluster.startLoad('small', 25, chooseHost)
}
