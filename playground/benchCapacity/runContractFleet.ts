import { ConfirmationState } from '../../src/node/contracts/confirmationState.js'
import { contractConstants } from '../../src/node/contracts/constants.js'
import { ContractExchange } from '../../src/node/contracts/contractExchange.js'
import { ContractStore } from '../../src/node/contracts/contractStore.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { scheduleRepeatedly } from '../../src/shared/scheduleRepeatedly.js'
import type { ContractRevision } from '../../src/types/contractRevision.js'
import { VirtualClock } from '../fakes/virtualClock.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { CountingNetwork } from './countingNetwork.js'
import { createFixedMembershipView } from './createFixedMembershipView.js'
import { createSeries } from './createSeries.js'
import { buildContracts } from './buildContracts.js'

interface FleetCost {
  readonly hosts: number
  readonly quietBytes: number
  readonly quietCpuUs: number
  readonly changeBytes: number
  readonly changeMs: number
  readonly burstBytes: number
  readonly burstPeakBytes: number
  readonly burstMs: number
}

/**
 * Measures the traffic of contracts between hosts that hold the contracts of all accounts: without changes (quiet), after
 * one change, and with 50 changes within a second.
 */
export async function runContractFleet (): Promise<readonly CapacitySeries[]> {
  const contracts = buildContracts(capacityConstants.targetAccounts)
  const costs: FleetCost[] = []
  for (const hosts of capacityConstants.hosts) costs.push(await runFleet(hosts, contracts))
  const build = (figure: string, unit: string, read: (cost: FleetCost) => number): CapacitySeries => {
    return createSeries({ part: 'contracts', figure, unit, sizeName: 'hosts', targetSize: capacityConstants.targetHosts }, costs.map(cost => [cost.hosts, [read(cost)]]))
  }
  return [
    build('quiet: bytes of messages per host, sent and received', 'bytes/s', cost => cost.quietBytes),
    build('quiet: processor per host without gRPC', 'us/s', cost => cost.quietCpuUs),
    build('one change: bytes of messages per host until it is everywhere', 'KB', cost => cost.changeBytes / 1e3),
    build('one change: time until in force everywhere', 'ms', cost => cost.changeMs),
    build('50 changes in 1 s: bytes of messages per host', 'KB', cost => cost.burstBytes / 1e3),
    build('50 changes in 1 s: bytes of messages per host in the busiest second', 'KB', cost => cost.burstPeakBytes / 1e3),
    build('50 changes in 1 s: time from the last change until all in force everywhere', 'ms', cost => cost.burstMs)
  ]
}

async function runFleet (count: number, contracts: readonly ContractRevision[]): Promise<FleetCost> {
  const clock = new VirtualClock()
  const network = new CountingNetwork(clock, count)
  const random = createSeededRandom(capacityConstants.seed)
  const nodes = network.hosts.map(host => createNode(host.id))
  function createNode (id: string): { readonly store: ContractStore, readonly exchange: ContractExchange } {
    const store = new ContractStore()
    for (const revision of contracts) store.apply(revision)
    const confirmation = new ConfirmationState()
    const self = network.hosts.find(host => host.id === id)!
    const exchange = new ContractExchange({ store, transport: network.createTransport(id), membership: createFixedMembershipView(self, network.hosts), confirmation, clock, random, isReady: () => true })
    scheduleRepeatedly(clock, random, contractConstants.digestPeriodMs, 0.2, () => {
      // In a real fleet the watchers' heartbeats reach every host through the exchange; here each host is confirmed directly.
      confirmation.observePeriod(clock.readMonotonicMs())
      confirmation.onConfirmed(clock.readMonotonicMs())
      exchange.runDigestExchange().catch(() => {})
    })
    return { store, exchange }
  }
  // Two watchers in each failure domain receive a change from the key-value service at the same time.
  const watchers = nodes.slice(0, capacityConstants.failureDomains * contractConstants.watchersPerDomain)
  const writeChange = (index: number, revision: number): void => {
    for (const watcher of watchers) watcher.exchange.applyRevisions([{ ...contracts[index]!, revision }])
  }
  const countBytes = (): number => 2 * [...network.takeCounts().values()].reduce((sum, { bytes }) => sum + bytes, 0) / count
  const runUntilInForce = async (indexes: readonly number[], revision: number, onSecond: (bytes: number) => void): Promise<number> => {
    const startMs = clock.readMonotonicMs()
    const isReached = (): boolean => nodes.every(({ store }) => indexes.every(i => (store.findRevision(contracts[i]!.account)?.revision ?? 0) >= revision))
    let reachedMs: number | undefined
    for (let step = 1; step <= capacityConstants.afterBurstSeconds * 10; step++) {
      await clock.runFor(100)
      if (reachedMs === undefined && isReached()) reachedMs = clock.readMonotonicMs() - startMs
      if (step % 10 === 0) onSecond(countBytes())
      if (reachedMs !== undefined && step % 10 === 0) return reachedMs
    }
    return NaN
  }
  await clock.runFor(3000)
  network.takeCounts()
  const cpuBefore = process.cpuUsage()
  await clock.runFor(10_000)
  const cpu = process.cpuUsage(cpuBefore)
  const quietBytes = countBytes() / 10
  let changeBytes = 0
  writeChange(0, 2)
  const changeMs = await runUntilInForce([0], 2, bytes => { changeBytes += bytes - quietBytes })
  let burstBytes = 0
  let burstPeakBytes = 0
  const addSecond = (bytes: number): void => {
    burstBytes += bytes - quietBytes
    burstPeakBytes = Math.max(burstPeakBytes, bytes)
  }
  const indexes = Array.from({ length: capacityConstants.burstChanges }, (_, i) => 1 + i * 7)
  for (const index of indexes) {
    writeChange(index, 2)
    await clock.runFor(capacityConstants.burstSeconds * 1000 / indexes.length)
  }
  addSecond(countBytes())
  const burstMs = await runUntilInForce(indexes, 2, addSecond)
  return { hosts: count, quietBytes, quietCpuUs: (cpu.user + cpu.system) / 10 / count, changeBytes, changeMs, burstBytes, burstPeakBytes, burstMs }
}
