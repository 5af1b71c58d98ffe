import { LimitCluster } from './limitCluster.js'

const rates = { large: 100, small: 5 }

/** Starts five hosts and waits 8 s for them to join. Two accounts have contracts: `large` with 100 requests a second and `small` with 5. */
export async function startLimitCluster (seed: number): Promise<{ cluster: LimitCluster, ids: string[], chooseRandomHost: () => string }> {
  const cluster = new LimitCluster(seed, rates)
  cluster.addHosts(5)
  await cluster.clock.runFor(8000)
  const ids = [...cluster.hosts.keys()]
  return { cluster, ids, chooseRandomHost: () => ids[Math.floor(cluster.random() * ids.length)] as string }
}
