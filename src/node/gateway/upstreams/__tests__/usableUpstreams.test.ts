import t from 'tap'
import { ColdCondition } from '../../conditions/coldCondition.js'
import { createSeededRandom } from '../../../../shared/createSeededRandom.js'
import { createTestDirectory } from '../../conditions/__tests__/createTestDirectory.js'
import { CountingMetrics } from '../../../../../playground/fakes/countingMetrics.js'
import { EvacuatedCondition } from '../../conditions/evacuatedCondition.js'
import { LimitShare } from '../limitShare.js'
import { silentLogger } from '../../../../../playground/fakes/silentLogger.js'
import { upstreamConstants } from '../constants.js'
import type { UpstreamEntry } from '../../model/upstreamEntry.js'
import type { UpstreamResponseHead } from '../../model/upstreamResponseHead.js'

const service = 'llm'
const head = { status: 200, isNotRun: false } as unknown as UpstreamResponseHead

function createFleet (count: number) {
  const clock = { nowMs: 0, readMonotonicMs: () => clock.nowMs, readWallMs: () => 0 }
  const options = { logger: silentLogger, metrics: new CountingMetrics() }
  const evacuated = new EvacuatedCondition({
    ...options,
    onChanged: returned => { returned.forEach(domain => { cold.observeReturn(domain, clock.nowMs) }) }
  })
  const spec = { durationMs: 3000, requestsPerSecond: 4 }
  const cold = new ColdCondition({
    ...options,
    findSpec: () => spec,
    // This host gains and loses its share as other hosts come and go.
    computeRate: (upstreamId, rate, nowMs) => (Math.floor(nowMs / 4000) + upstreamId.length) % 2 * rate
  })
  const directory = createTestDirectory(clock, [evacuated, cold])
  const buildEntry = (i: number, part: Partial<UpstreamEntry> = {}): UpstreamEntry => ({
    id: `i-${i}`,
    service,
    address: `127.45.1.1:${7000 + i}`,
    failureDomain: `d${i % 3}`,
    version: `v${i % 2}`,
    slots: 4,
    isDraining: false,
    startedAtMs: 1,
    ...part
  })
  for (let i = 0; i < count; i++) directory.applyEntry(buildEntry(i))
  return { clock, evacuated, cold, directory, buildEntry }
}

t.test('guards against a kept list of usable upstreams that differs from what the conditions say', async t => {
  for (let seed = 1; seed <= 20; seed++) {
    const { clock, evacuated, cold, directory, buildEntry } = createFleet(12)
    const random = createSeededRandom(seed)
    const listExpected = (version?: string): readonly string[] => {
      const states = directory.listService(service)
      const blocks = new Map(states.map(state => [state, directory.describeBlocks(state.entry.id)]))
      const listHealthy = (version?: string) => {
        const open = [...blocks.keys()].filter(state => (version === undefined || state.entry.version === version) &&
          blocks.get(state)!.every(({ condition }) => condition === 'ejected' || condition === 'limit'))
        const healthy = open.filter(state => !state.isEjected(clock.nowMs))
        return healthy.length >= open.length * (1 - upstreamConstants.maxEjectedShare) ? healthy : open
      }
      const hasLimits = listHealthy().some(state => state.limit !== undefined)
      return listHealthy(version)
        .filter(state => !hasLimits || (state.limit === undefined
          ? state.inFlight < Math.max(state.entry.slots, upstreamConstants.minPlaces)
          : blocks.get(state)!.every(({ condition }) => condition !== 'limit')))
        .map(state => state.entry.id)
    }
    for (let step = 0; step < 1500; step++) {
      const i = Math.floor(random() * 12)
      const state = directory.find(`i-${i}`)
      const { nowMs } = clock
      const actions: ReadonlyArray<() => void> = [
        () => { clock.nowMs += random() * 1000 },
        () => { state?.backoff.observeAnswer(random() < 0.5 ? 800 : undefined, nowMs) },
        () => { state?.protocolErrorPause.onProtocolError(nowMs) },
        () => { state?.protocolErrorPause.onWholeAnswer(nowMs) },
        () => { state?.onFailure(nowMs) },
        () => { if (state !== undefined) state.inFlight = Math.max(state.inFlight + (random() < 0.5 ? 1 : -1), 0) },
        () => { if (random() < 0.1) evacuated.addDomain(`d${i % 3}`) },
        () => { evacuated.removeDomain(`d${i % 3}`) },
        () => {
          const coldMs = random() < 0.5 ? 2500 : 0
          if (state !== undefined) cold.observeHead(state, { ...head, coldMs }, nowMs)
        },
        () => { if (state !== undefined) cold.recordSent(state, nowMs) },
        () => {
          directory.applyEntry(buildEntry(i, { isDraining: random() < 0.3, startedAtMs: Math.ceil(random() * 2) }))
        },
        () => { directory.applyEntry(buildEntry(i, { version: `v${Math.floor(random() * 2)}`, failureDomain: 'd1' })) },
        () => { directory.removeUpstream(`i-${i}`, 'test') },
        () => { directory.applyLinkChange() },
        () => {
          const share = new LimitShare(2, nowMs)
          const limit = { requestsPerSecond: 2, endsAtMs: nowMs + 1500, share }
          if (state !== undefined) state.limit = random() < 0.3 ? limit : undefined
        }
      ]
      actions[Math.floor(random() * actions.length)]!()
      for (const version of [undefined, 'v0', 'v1']) {
        const listed = directory.listUsable(service, version).map(({ entry }) => entry.id)
        const expected = listExpected(version)
        if (listed.sort().join() !== [...expected].sort().join()) {
          return t.fail(`seed ${seed}, step ${step}, ${version}: ${listed.join()} for ${expected.join()}`)
        }
      }
    }
  }
})

t.test('guards against a list that is made again for each request, or kept when an upstream changes', async t => {
  const { clock, directory } = createFleet(200)
  const listed = directory.listUsable(service)
  directory.find('i-7')!.inFlight++
  clock.nowMs += 1000
  t.equal(directory.listUsable(service), listed, 'the same list')
  directory.find('i-7')!.backoff.observeAnswer(500, clock.nowMs)
  t.equal(directory.listUsable(service).length, 199)
  clock.nowMs += 499
  t.equal(directory.listUsable(service).length, 199)
  clock.nowMs++
  t.equal(directory.listUsable(service).length, 199, 'one request at a time after the pause, and one is in progress')
  directory.find('i-7')!.inFlight--
  t.equal(directory.listUsable(service).length, 200)
})
