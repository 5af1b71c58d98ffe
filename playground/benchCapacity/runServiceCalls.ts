import { createContracts } from '../../src/node/contracts/createContracts.js'
import { PlacementLease } from '../../src/node/placement/placementLease.js'
import { placementConstants } from '../../src/node/placement/constants.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { encodeRevision } from '../../src/node/contracts/encodeRevision.js'
import { createSilentLogger } from '../fakes/createSilentLogger.js'
import { createMemoryMetrics } from '../fakes/createMemoryMetrics.js'
import { MemoryKeyValueService } from '../fakes/memoryKeyValueService.js'
import { VirtualClock } from '../fakes/virtualClock.js'
import { buildContracts } from './buildContracts.js'
import type { CapacitySeries } from './capacitySeries.js'
import { capacityConstants } from './constants.js'
import { CountingNetwork } from './countingNetwork.js'
import { createFixedMembershipView } from './createFixedMembershipView.js'
import { createSeries } from './createSeries.js'

const settleMs = 20_000
const measuredMs = 240_000

/** Measures the calls per second to the key-value service for contracts and for the placement lease, by number of hosts, without changes. */
export async function runServiceCalls (): Promise<readonly CapacitySeries[]> {
  const contracts: Array<readonly [number, readonly number[]]> = []
  const starts: Array<readonly [number, readonly number[]]> = []
  const placement: Array<readonly [number, readonly number[]]> = []
  for (const hosts of capacityConstants.hosts) {
    const cost = await runContractCalls(hosts)
    contracts.push([hosts, [cost.perSecond]])
    starts.push([hosts, [cost.atStart]])
    placement.push([hosts, [await runPlacementCalls(hosts)]])
  }
  const head = { part: 'key-value service', sizeName: 'hosts', targetSize: capacityConstants.targetHosts }
  return [
    createSeries({ ...head, figure: 'contracts: lists of the watchers, without changes', unit: 'calls/s' }, contracts),
    createSeries({ ...head, figure: 'contracts: lists when all hosts start at once', unit: 'calls' }, starts),
    createSeries({ ...head, figure: 'placement lease: reads and renewals', unit: 'calls/s' }, placement)
  ]
}

async function runContractCalls (count: number): Promise<{ readonly perSecond: number, readonly atStart: number }> {
  const clock = new VirtualClock()
  const network = new CountingNetwork(clock, count)
  const service = new MemoryKeyValueService()
  const random = createSeededRandom(capacityConstants.seed)
  for (const revision of buildContracts(5)) await service.compareAndSwap(`contracts/${revision.account}`, 0, encodeRevision(revision))
  service.callCount = 0
  for (const host of network.hosts) {
    const contracts = createContracts({
      service,
      transport: network.createTransport(host.id),
      membership: createFixedMembershipView(host, network.hosts),
      clock,
      scheduler: clock,
      random,
      logger: createSilentLogger(),
      metrics: createMemoryMetrics()
    })
    contracts.start().catch(() => {})
  }
  await clock.runFor(settleMs)
  const atStart = service.callCount
  await clock.runFor(measuredMs)
  return { perSecond: (service.callCount - atStart) / measuredMs * 1000, atStart }
}

async function runPlacementCalls (count: number): Promise<number> {
  const clock = new VirtualClock()
  const service = new MemoryKeyValueService()
  const leases = Array.from({ length: count }, (_, i) => new PlacementLease(`host-${i}`, service, clock, () => `token-${i}`))
  for (const [i, lease] of leases.entries()) {
    const runUpdates = async (): Promise<void> => {
      await clock.wait(placementConstants.RENEW_INTERVAL_MS * i / count)
      for (;;) {
        await lease.update()
        await clock.wait(placementConstants.RENEW_INTERVAL_MS)
      }
    }
    runUpdates().catch(() => {})
  }
  await clock.runFor(10_000)
  service.callCount = 0
  await clock.runFor(30_000)
  return service.callCount / 30
}
