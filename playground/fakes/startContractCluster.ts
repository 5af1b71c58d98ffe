import { ContractCluster } from './contractCluster.js'

/** A cluster of hosts that know each other and have loaded and confirmed their contracts. */
export async function startContractCluster (seed: number, switches: ConstructorParameters<typeof ContractCluster>[1] = {}, count = 12): Promise<ContractCluster> {
  const cluster = new ContractCluster(seed, switches)
  cluster.addHosts(count)
  await cluster.runUntil(() => [...cluster.contracts.values()].every(host => host.isReady() && host.isConfirmed()), 20_000)
  await cluster.clock.runFor(3000)
  return cluster
}
