import type { ExampleDeployment } from '../../examples/exampleDeployment.js'
import { proveConstants } from '../constants.js'
import type { ScenarioSettings } from '../scenarioSettings.js'

const shortGenerationTokens = [60, 140]

/** Applies a scenario's settings to an example and shortens long generations, so that the load stays far below the capacity. */
export function buildProofExample (example: ExampleDeployment, settings: ScenarioSettings): ExampleDeployment {
  const { hostCount, upstreamsPerPool = Infinity, kinds, hostListLagMs, contractRateFactor = proveConstants.contractRateFactor } = settings
  return {
    ...example,
    entryHosts: example.entryHosts.slice(0, hostCount),
    upstreams: example.upstreams.map(upstreams => ({ ...upstreams, count: Math.min(upstreams.count, upstreamsPerPool) })),
    contracts: example.contracts.map(contract => ({
      ...contract,
      requestsPerSecond: contract.requestsPerSecond * contractRateFactor,
      tokensPerSecond: contract.tokensPerSecond * contractRateFactor
    })),
    workload: example.workload
      .filter(entry => kinds === undefined || kinds.includes(entry.kind))
      .map(entry => (entry.tokens?.[1] ?? 0) > shortGenerationTokens[1]! ? { ...entry, tokens: shortGenerationTokens } : entry),
    hostList: { ...example.hostList, ...(hostListLagMs === undefined ? {} : { lagMs: hostListLagMs }) }
  }
}
