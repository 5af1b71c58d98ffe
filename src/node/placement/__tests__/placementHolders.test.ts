import t from 'tap'
import { createSilentLogger } from '../../../../playground/fakes/createSilentLogger.js'
import { MemoryKeyValueService } from '../../../../playground/fakes/memoryKeyValueService.js'
import { VirtualClock } from '../../../../playground/fakes/virtualClock.js'
import { createSeededRandom } from '../../../shared/createSeededRandom.js'
import { placementConstants } from '../constants.js'
import { PlacementController } from '../placementController.js'
import { PlacementLease } from '../placementLease.js'
import type { PlacementOrder } from '../placementOrder.js'
import type { RunnerPlacement } from '../runnerPlacement.js'

interface Effect {
  readonly hostId: string
  readonly order: PlacementOrder
  readonly sentMs: number
  readonly effectMs: number
}

/** A key-value service whose leases expire when they are not renewed. */
class ExpiringKeyValueService extends MemoryKeyValueService {
  private readonly ends = new Map<string, { readonly ttlMs: number, endMs: number }>()

  constructor (private readonly clock: VirtualClock) {
    super()
  }

  override async grantLease (ttlMs = 0): Promise<string> {
    const leaseId = await super.grantLease()
    this.ends.set(leaseId, { ttlMs, endMs: this.clock.readMonotonicMs() + ttlMs })
    return leaseId
  }

  override async updateLease (leaseId: string): Promise<boolean> {
    const end = this.ends.get(leaseId)
    if (!await super.updateLease(leaseId) || end === undefined) return false
    end.endMs = this.clock.readMonotonicMs() + end.ttlMs
    return true
  }

  async removeExpired (): Promise<void> {
    for (const [leaseId, { endMs }] of this.ends) {
      if (endMs > this.clock.readMonotonicMs()) continue
      this.ends.delete(leaseId)
      await this.removeLease(leaseId)
    }
  }
}

/** A faulty lease that relies on the last response of the service and ignores its own clock. */
class ClocklessLease extends PlacementLease {
  private last: number | undefined

  override async update (): Promise<void> {
    await super.update()
    this.last = super.getFencing() ?? this.last
  }

  override getFencing (): number | undefined {
    return this.last
  }
}

/** Runs three hosts that place three models on runners that ignore fencing numbers, with host pauses and service outages. */
async function runPlacement (seed: number, Lease: typeof PlacementLease): Promise<readonly Effect[]> {
  const random = createSeededRandom(seed)
  const clock = new VirtualClock()
  const keyValue = new ExpiringKeyValueService(clock)
  const effects: Effect[] = []
  let runners: readonly RunnerPlacement[] = Array.from({ length: 6 }, (_, i) => ({ upstreamId: `runner-${i}`, failureDomain: 'a', models: ['a'], maxModels: 1 }))
  const pausedUntil = new Map<string, number>()
  let tokens = 0

  const createHost = (hostId: string): PlacementController => new PlacementController({
    lease: new Lease(hostId, keyValue, clock, () => `token-${tokens++}`),
    clock,
    logger: createSilentLogger(),
    readDemand: async () => new Map([['a', 100 + 900 * random()], ['b', 100 + 900 * random()], ['c', 100 + 900 * random()]]),
    orders: {
      listRunners: () => runners,
      send: async order => {
        const sentMs = clock.readMonotonicMs()
        await clock.wait(random() * (placementConstants.LONGEST_ORDER_DELAY_MS - 1))
        effects.push({ hostId, order, sentMs, effectMs: clock.readMonotonicMs() })
        runners = runners.map(runner => runner.upstreamId !== order.upstreamId ? runner : { ...runner, models: order.order === 'load' ? [order.model] : [] })
      }
    }
  })

  const runLoop = async (hostId: string, intervalMs: number, run: () => Promise<void>): Promise<void> => {
    while (clock.readMonotonicMs() < 240_000) {
      await clock.wait(Math.max(intervalMs, (pausedUntil.get(hostId) ?? 0) - clock.readMonotonicMs()))
      void run()
    }
  }
  for (const hostId of ['host-0', 'host-1', 'host-2']) {
    const host = createHost(hostId)
    void runLoop(hostId, placementConstants.RENEW_INTERVAL_MS, async () => await host.updateLease())
    void runLoop(hostId, placementConstants.PLAN_INTERVAL_MS, async () => await host.runPlan())
    void runLoop('faults', 4000, async () => {
      if (random() < 0.2) pausedUntil.set(hostId, clock.readMonotonicMs() + random() * 20_000)
    })
  }
  void runLoop('faults', 50, async () => await keyValue.removeExpired())
  void runLoop('faults', 5000, async () => { keyValue.outage = random() < 0.15 })
  await clock.runFor(250_000)
  return effects
}

/** Counts the orders of a former holder that took effect after its successor had sent one. */
function countOverlaps (effects: readonly Effect[]): number {
  return effects.filter(effect => effects.some(other => other.hostId !== effect.hostId && other.sentMs > effect.sentMs && other.sentMs < effect.effectMs)).length
}

async function runSeeds (count: number, Lease: typeof PlacementLease): Promise<ReadonlyArray<readonly Effect[]>> {
  return await Promise.all(Array.from({ length: count }, (_, i) => runPlacement(i + 1, Lease)))
}

const effectsBySeed = runSeeds(12, PlacementLease)

t.test('runners that ignore fencing numbers never receive overlapping orders of two holders', async t => {
  const runs = await effectsBySeed
  for (const [i, effects] of runs.entries()) t.equal(countOverlaps(effects), 0, `seed ${i + 1}`)
  const holders = runs.reduce((sum, effects) => sum + new Set(effects.map(effect => effect.hostId)).size, 0)
  t.ok(runs.flat().length > 60 && holders > 20, `${runs.flat().length} orders of ${holders} holders`)
})

t.test('the interval between two loads is kept, also when the holder changes', async t => {
  for (const [i, effects] of (await effectsBySeed).entries()) {
    const loads = effects.filter(effect => effect.order.order === 'load').map(effect => effect.sentMs).sort((a, b) => a - b)
    const gaps = loads.slice(1).map((ms, at) => ms - loads[at]!)
    t.ok(gaps.every(gap => gap >= placementConstants.LOAD_INTERVAL_MS), `seed ${i + 1}: ${loads.length} loads`)
  }
})

t.test('the overlap check detects two holders when a host ignores its own clock', async t => {
  const overlaps = (await runSeeds(6, ClocklessLease)).reduce((sum, effects) => sum + countOverlaps(effects), 0)
  t.ok(overlaps > 0, `${overlaps} orders overlapped`)
})
