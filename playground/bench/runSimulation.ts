import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { Contract } from '../../src/types/contract.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'
import type { Upstream } from '../../src/types/upstream.js'
import type { Arrival } from './arrival.js'
import { BenchHost } from './benchHost.js'
import type { SimulationContext } from './simulationContext.js'
import { createBenchLimiter } from './createBenchLimiter.js'
import { createHostPolicy } from './createHostPolicy.js'
import type { Deployment } from './deployment.js'
import { EventQueue } from './eventQueue.js'
import type { PolicyName } from './policyName.js'
import type { RunResult } from './runResult.js'
import type { Scenario } from './scenario.js'
import { createUpstreamFeeds } from './createUpstreamFeeds.js'
import type { Trace } from './trace.js'
import { UpstreamModel } from './upstreamModel.js'

/** Time that callers need to notice a dead host and ask another. */
const rerouteDelayMs = 1000
/** Time until hosts learn from the host list that upstreams are gone. */
const hostListLagMs = 10_000
/** Time after the end of demand in which running requests may finish. */
const drainMs = 30_000

/** Runs one trace under one policy on a virtual clock. */
export function runSimulation (deployment: Deployment, scenario: Scenario, trace: Trace, policy: PolicyName, seed: number): RunResult {
  const queue = new EventQueue()
  const result: RunResult = { requests: [], stages: new Map(), spans: [], shortWaits: [] }
  const hosts: BenchHost[] = []
  const random = createSeededRandom(seed * 104729 + 3)
  const feeds = createUpstreamFeeds({ scenario, queue, random: createSeededRandom(seed + 99), hosts })
  const upstreams = buildUpstreams(deployment)
  const models = new Map(upstreams.map(upstream => {
    const pool = deployment.pools.find(spec => spec.name === upstream.pool) as Deployment['pools'][number]
    return [upstream.id, new UpstreamModel(upstream.id, pool, upstream.failureDomain, queue, (type, prefixHash) => feeds.sendCacheEvent(upstream.id, type, prefixHash))]
  }))
  const contracts = buildContracts(deployment, scenario)
  const limiter = createBenchLimiter(new Map([...contracts].map(([account, revision]) => [account, revision.contract.requestsPerSecond])))
  const context: SimulationContext = { deployment, scenario, queue, random, models, upstreams, limiter, contracts, trueWorkById: new Map(), pendingLongWorkMs: new Map(), result }
  const countHosts = () => hosts.filter(host => !host.dead).length || deployment.hosts
  for (let i = 0; i < deployment.hosts; i++) hosts.push(new BenchHost(context, createHostPolicy(policy, context, countHosts), `domain-${i % deployment.failureDomains}`))
  for (const arrival of trace.arrivals) queue.schedule(arrival.atMs + deployment.callerMs, () => chooseHost(hosts, arrival).receive(arrival))
  scheduleFaults(context, hosts, trace)
  feeds.start(models, scenario.durationMs + drainMs)
  queue.run(scenario.durationMs + drainMs)
  return result
}

function chooseHost (hosts: readonly BenchHost[], arrival: Arrival): BenchHost {
  for (let i = 0; i < hosts.length; i++) {
    const host = hosts[(arrival.hostIndex + i) % hosts.length] as BenchHost
    if (!host.dead) return host
  }
  return hosts[0] as BenchHost
}

function buildUpstreams (deployment: Deployment): readonly Upstream[] {
  return deployment.pools.flatMap(pool => Array.from({ length: pool.count }, (_, i) => ({
    id: `${pool.name}-${i}`, address: `${pool.name}-${i}`, pool: pool.name, failureDomain: `domain-${i % deployment.failureDomains}`, state: 'live' as const
  })))
}

function buildContracts (deployment: Deployment, scenario: Scenario): ReadonlyMap<string, ContractRevision & { readonly contract: Contract }> {
  const usualRate = deployment.kinds.reduce((sum, kind) => sum + kind.rate, 0)
  const kinds = Object.fromEntries(deployment.kinds.map(kind => [kind.name, kind]))
  return new Map(deployment.accounts.map((share, i) => {
    const account = `account-${i}`
    const contract: Contract = { account, tokenDigests: [], requestsPerSecond: usualRate * share * scenario.contractFactor, tokensPerSecond: 1e9, kinds }
    return [account, { account, revision: 1, contract, operator: 'bench', atMs: 0, token: '' }]
  }))
}

function scheduleFaults (context: SimulationContext, hosts: readonly BenchHost[], trace: Trace): void {
  const { queue, models, scenario } = context
  for (const interval of trace.slowIntervals) {
    const model = models.get(`runners-${interval.runnerIndex}`)
    queue.schedule(interval.startMs, () => model?.setSpeed(1 / interval.factor))
    queue.schedule(interval.endMs, () => model?.setSpeed(1))
  }
  if (scenario.runnerLostAtMs !== undefined) scheduleLoss(context, hosts, scenario.runnerLostAtMs, model => model.id === 'runners-0')
  if (scenario.domainLostAtMs === undefined) return
  scheduleLoss(context, hosts, scenario.domainLostAtMs, model => model.failureDomain === 'domain-0')
  queue.schedule(scenario.domainLostAtMs, () => {
    const moved = hosts.filter(host => host.failureDomain === 'domain-0').flatMap(host => host.close())
    for (const arrival of moved) queue.schedule(queue.nowMs + rerouteDelayMs, () => chooseHost(hosts, arrival).receive(arrival))
  })
}

function scheduleLoss (context: SimulationContext, hosts: readonly BenchHost[], atMs: number, isLost: (model: UpstreamModel) => boolean): void {
  const lost = [...context.models.values()].filter(isLost)
  context.queue.schedule(atMs, () => { for (const model of lost) model.close() })
  const left = context.upstreams.filter(upstream => !lost.some(model => model.id === upstream.id))
  context.queue.schedule(atMs + hostListLagMs, () => { for (const host of hosts) host.policy.router.applyUpstreams(left, context.queue.nowMs) })
}
