import { ContractCluster } from './contractCluster.js'

/** Starts a cluster of hosts and waits until all have joined and have loaded and confirmed their contracts. */
export async function startContractCluster (seed: number, overrides: ConstructorParameters<typeof ContractCluster>[1] = {}, hostCount = 12): Promise<ContractCluster> {
  const cluster = new ContractCluster(seed, overrides)
  cluster.addHosts(hostCount)
  await cluster.runUntil(() => [...cluster.contracts.values()].every(host => host.isReady() && host.isConfirmed()), 20_000)
  await cluster.clock.runFor(3000)
  return cluster
}
