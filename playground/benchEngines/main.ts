// Prints the time of one choice of an engine and of one list of usable upstreams: npm run bench:engines
import { admitByEngines } from '../../src/node/gateway/capacity/admitByEngines.js'
import { ColdCondition } from '../../src/node/gateway/conditions/coldCondition.js'
import { createMemoryMetrics } from '../fakes/createMemoryMetrics.js'
import { createSeededRandom } from '../../src/shared/createSeededRandom.js'
import { createSilentLogger } from '../fakes/createSilentLogger.js'
import { decodeUpstreamResponse } from '../../src/node/platform/decodeUpstreamResponse.js'
import { createServiceLoad } from '../../src/node/gateway/capacity/createServiceLoad.js'
import { EngineCapacities } from '../../src/node/gateway/capacity/engineCapacities.js'
import { EngineIndex } from '../../src/node/gateway/engines/engineIndex.js'
import { EnginePlanner } from '../../src/node/gateway/engines/enginePlanner.js'
import { EvacuatedCondition } from '../../src/node/gateway/conditions/evacuatedCondition.js'
import { systemClock } from '../../src/shared/systemClock.js'
import { UpstreamDirectory } from '../../src/node/gateway/upstreams/upstreamDirectory.js'
import { UpstreamState } from '../../src/node/gateway/upstreams/upstreamState.js'
import type { UpstreamPool } from '../../src/node/gateway/upstreams/upstreamPool.js'

const service = 'llm'
const rounds = 5
/** Enough for optimized code, also among many engines. */
const chooseCalls = 2000

function createEngines (count: number): readonly UpstreamState[] {
  const pool = { hasFreeConnection: () => true } as unknown as UpstreamPool
  return Array.from({ length: count }, (_, i) => new UpstreamState(
    { id: `engine-${i}`, service, address: '', failureDomain: `domain-${i % 8}`, version: '', slots: 32, isDraining: false, startedAtMs: 0 },
    pool
  ))
}

function createDirectory (count: number): UpstreamDirectory {
  const logger = createSilentLogger()
  const metrics = createMemoryMetrics()
  const spec = { durationMs: 20_000, requestsPerSecond: 12 }
  const directory = new UpstreamDirectory({
    clock: systemClock,
    logger,
    metrics,
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: () => 10,
    computeLimitShare: () => 1,
    countHosts: () => 1,
    traffic: {
      onExchangeStarted: () => {},
      onExchangeEnded: () => {},
      onBytes: () => {},
      onConnected: () => {},
      onConnectFailed: () => {}
    },
    findRelay: () => undefined,
    conditions: [
      new EvacuatedCondition({ logger, metrics, onChanged: () => {} }),
      new ColdCondition({ logger, metrics, findSpec: () => spec, computeRate: () => 1 })
    ],
    onChanged: () => {},
    onRemoved: () => {}
  })
  for (const { entry } of createEngines(count)) directory.applyEntry(entry)
  return directory
}

/** Returns the median over the rounds of the microseconds that one call takes. */
function computeCallUs (calls: number, run: (i: number) => void): number {
  const roundsUs = Array.from({ length: rounds }, () => {
    const startMs = performance.now()
    for (let i = 0; i < calls; i++) run(i)
    return (performance.now() - startMs) * 1000 / calls
  })
  return roundsUs.sort((a, b) => a - b)[rounds >> 1]!
}

for (const count of [60, 2800]) {
  for (const isLearned of [false, true]) {
    const random = createSeededRandom(1)
    const engines = createEngines(count)
    const capacities = new EngineCapacities()
    const planner = new EnginePlanner(() => engines, capacities)
    const capacity = capacities.getService(service)
    let nowMs = 0
    const observe = (i: number): void => {
      const engineId = `engine-${i % count}`
      capacity.observeFirstEvent({ engineId, elapsedMs: 100 + 100 * random(), readTokens: 6000, backlogMs: 0, inProgress: i % 4 }, nowMs)
      capacity.observePace({ engineId, paceMs: 15 + 10 * random(), eventCount: 100, inProgress: i % 4 }, nowMs)
      capacity.updateCondition(engineId, nowMs)
      nowMs += 1000 / count
    }
    if (isLearned) for (let i = 0; i < count * 5; i++) observe(i)
    const calls = Math.ceil(200_000 / count)
    const prompt = (i: number) => ({ tokens: 6000, parts: [{ id: `shared-${i % 500}`, tokens: 4000 }, { id: `own-${i}`, tokens: 2000 }] })
    const chooseUs = computeCallUs(chooseCalls, i => {
      nowMs += 1000 / count
      planner.placeRequest({ service, prompt: prompt(i), inputs: { domain: 'domain-1', bytes: 10_000 }, excludedIds: new Set() }, nowMs)
    })
    const admitUs = computeCallUs(calls, i => { admitByEngines({ engines, capacity, prompt: prompt(i), timeLeftMs: 5000, nowMs }) })
    const refuseUs = computeCallUs(calls, i => { admitByEngines({ engines, capacity, prompt: prompt(i), timeLeftMs: -1, nowMs }) })
    const index = new EngineIndex(engines)
    const homeUs = computeCallUs(chooseCalls, i => { index.findHome(prompt(i).parts) })
    const indexUs = computeCallUs(100, () => { new EngineIndex(engines).find('engine-1') })
    const shares = capacities.getShares(service)
    const demand = { tokens: 6000, timeLeftMs: 5000, isReturning: false, findDigest: () => undefined }
    // A backlog of some seconds, so that shares are computed for 10 priorities of 100 accounts.
    for (let i = 0; i < 200; i++) {
      const request = {}
      capacity.addWaiting(request, { engineId: 'engine-0', readTokens: 6000, backlogMs: 0, inProgress: 0 }, nowMs)
      if (i < 50) capacity.removeWaiting(request, 'engine-0', true, nowMs + i * 20)
    }
    nowMs += 2000
    const shareUs = computeCallUs(20_000, i => {
      nowMs += 1
      const order = { ...demand, requestId: `r-${i}`, priority: i % 10, account: `account-${i % 100}` }
      shares.admitRequest(order, createServiceLoad(capacity, nowMs), nowMs)
    })
    const observeUs = isLearned ? computeCallUs(20_000, observe) : 0
    const figures = { chooseUs, homeUs, indexUs, admitUs, refuseUs, shareUs, observeUs }
    const text = Object.entries(figures).map(([name, us]) => `${name} ${us.toFixed(1)}`).join(', ')
    console.log(`${count} engines, ${isLearned ? 'learned figures' : 'no samples'}: ${text}`)
  }
}

for (const count of [60, 2800]) {
  const directory = createDirectory(count)
  const list = (): void => { directory.listUsable(service) }
  const listUs = computeCallUs(2000, list)
  const usedUs = computeCallUs(2000, i => {
    const state = directory.find(`engine-${i % count}`)!
    state.inFlight++
    list()
    state.inFlight--
  })
  const pausedUs = computeCallUs(2000, i => {
    directory.find(`engine-${i % count}`)!.backoff.observeAnswer(1, systemClock.readMonotonicMs())
    list()
  })
  const admitUs = computeCallUs(2000, () => {
    directory.computeBackoffWaitMs(service)
    directory.hasLimits(service)
  })
  const figures = { listUs, usedUs, pausedUs, admitUs }
  const text = Object.entries(figures).map(([name, us]) => `${name} ${us.toFixed(1)}`).join(', ')
  console.log(`${count} upstreams of a service: ${text}`)
}
