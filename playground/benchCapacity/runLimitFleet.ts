import { createAccountLimiter } from '../../src/node/limits/createAccountLimiter.js'
import { chooseByRendezvous } from '../../src/shared/chooseByRendezvous.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'
import type { Random } from '../../src/types/random.js'
import { createMemoryMetrics } from '../fakes/createMemoryMetrics.js'
import { VirtualClock } from '../fakes/virtualClock.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { CountingNetwork } from './countingNetwork.js'
import { createFixedMembershipView } from './createFixedMembershipView.js'
import { createSeries } from './createSeries.js'

interface FleetCost {
  readonly hosts: number
  readonly calls: number
  readonly bytes: number
  readonly cpuMs: number
  readonly granted: number
}

type Placement = 'random' | 'few'

const warmUpMs = 2500
const measuredMs = 2000
const creditWaitMs = 25
/** Contract of an account as a multiple of its demand. */
const contractRatio = 1.5
/** With the placement `few`, an account has two hosts and one more for each so many of its requests per second. */
const requestsPerPlacedHost = 40

/**
 * Measures the limit reports between hosts at 26,000 requests/s over 7,300 accounts whose demand falls with their
 * rank (Zipf's law). `random`: each request goes to a random host, as with the hosts that route answers list. `few` is
 * a trial: the requests of an account go to its limit owner and to a few other hosts.
 */
export async function runLimitFleet (): Promise<readonly CapacitySeries[]> {
  return [...await runPlacement('random'), ...await runPlacement('few')]
}

async function runPlacement (placement: Placement): Promise<readonly CapacitySeries[]> {
  const costs: FleetCost[] = []
  for (const hosts of capacityConstants.hosts) costs.push(await runFleet(hosts, placement))
  const build = (figure: string, unit: string, read: (cost: FleetCost) => number): CapacitySeries => {
    const name = placement === 'random' ? figure : `trial, accounts at few hosts: ${figure}`
    return createSeries({ part: 'limits', figure: name, unit, sizeName: 'hosts', targetSize: capacityConstants.targetHosts }, costs.map(cost => [cost.hosts, [read(cost)]]))
  }
  return [
    build('report calls that a host sends (it receives as many)', 'calls/s', cost => cost.calls),
    build('bytes of report messages per host, sent and received', 'KB/s', cost => cost.bytes / 1e3),
    build('processor per host without gRPC, with the simulation', 'ms/s', cost => cost.cpuMs),
    build('share of requests granted', '%', cost => cost.granted * 100)
  ]
}

async function runFleet (count: number, placement: Placement): Promise<FleetCost> {
  const clock = new VirtualClock()
  const network = new CountingNetwork(clock, count)
  const random = createSeededRandom(capacityConstants.seed)
  const demand = buildDemand()
  const contracts = createContractLookup(demand)
  const limiters = network.hosts.map(host => createAccountLimiter({
    contracts,
    membership: createFixedMembershipView(host, network.hosts),
    transport: network.createTransport(host.id),
    metrics: createMemoryMetrics(),
    clock,
    scheduler: clock,
    random
  }))
  for (const limiter of limiters) limiter.start()
  const hostIndexesByAccount = placement === 'few' ? buildHostIndexes(demand, network.hosts.map(host => host.id)) : undefined
  let asked = 0
  let granted = 0
  const runRequest = async (index: number): Promise<void> => {
    const hostIndexes = hostIndexesByAccount?.[index]
    const limiter = limiters[hostIndexes ? hostIndexes[Math.floor(random() * hostIndexes.length)]! : Math.floor(random() * count)]!
    const account = `account-${index}`
    await limiter.waitForCredit(account, creditWaitMs)
    asked++
    if (limiter.take(account, clock.readMonotonicMs()).granted) granted++
  }
  const chooseAccount = createAccountChooser(demand, random)
  const runMs = async (ms: number): Promise<void> => {
    for (let i = 0; i < ms; i++) {
      for (let j = 0; j < capacityConstants.requestsPerSecond / 1000; j++) runRequest(chooseAccount()).catch(() => {})
      await clock.runFor(1)
    }
  }
  await runMs(warmUpMs)
  network.takeCounts()
  asked = granted = 0
  const cpuBefore = process.cpuUsage()
  await runMs(measuredMs)
  const cpu = process.cpuUsage(cpuBefore)
  const counts = [...network.takeCounts().values()]
  const perHostSecond = 1000 / measuredMs / count
  return {
    hosts: count,
    calls: counts.reduce((sum, { calls }) => sum + calls, 0) * perHostSecond,
    bytes: 2 * counts.reduce((sum, { bytes }) => sum + bytes, 0) * perHostSecond,
    cpuMs: (cpu.user + cpu.system) / 1000 * perHostSecond,
    granted: granted / asked
  }
}

/** Builds the requests per second of each account, by rank. */
function buildDemand (): readonly number[] {
  const weights = Array.from({ length: capacityConstants.targetAccounts }, (_, i) => 1 / (i + 1))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map(weight => weight / total * capacityConstants.requestsPerSecond)
}

/** Creates contracts that allow `contractRatio` times the demand of each account. */
function createContractLookup (demand: readonly number[]) {
  const revisions = new Map<string, ContractRevision>(demand.map((perSecond, i) => {
    const account = `account-${i}`
    const contract = { account, tokenDigests: [], requestsPerSecond: perSecond * contractRatio, tokensPerSecond: 0, kinds: {} }
    return [account, { account, revision: 1, contract, operator: '', atMs: 0, token: '' }]
  }))
  return { find: (account: string) => revisions.get(account), findByTokenDigest: () => undefined, list: () => [], onApplied: () => () => {} }
}

/** Creates a function that draws an account with the probability of its share of the demand. */
function createAccountChooser (demand: readonly number[], random: Random): () => number {
  const sums: number[] = []
  demand.reduce((sum, perSecond, i) => (sums[i] = sum + perSecond), 0)
  return () => {
    const at = random() * sums.at(-1)!
    let low = 0
    let high = sums.length - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (sums[middle]! < at) low = middle + 1
      else high = middle
    }
    return low
  }
}

/** Builds the indexes of the hosts of each account, its limit owner first. */
function buildHostIndexes (demand: readonly number[], hostIds: readonly string[]): ReadonlyArray<readonly number[]> {
  const indexes = new Map(hostIds.map((id, i) => [id, i]))
  return demand.map((perSecond, i) => {
    const size = Math.min(hostIds.length, 2 + Math.floor(perSecond / requestsPerPlacedHost))
    return chooseByRendezvous(`limits/account-${i}`, hostIds, size).map(id => indexes.get(id)!)
  })
}
