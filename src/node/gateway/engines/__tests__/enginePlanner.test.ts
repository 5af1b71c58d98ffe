import t from 'tap'
import { EnginePlanner } from '../enginePlanner.js'
import { EngineTimes } from '../engineTimes.js'
import type { EngineDemand } from '../engineDemand.js'
import type { UpstreamState } from '../../upstreams/upstreamState.js'

const createEngine = (id: string, failureDomain = 'x', part: Partial<UpstreamState> = {}): UpstreamState => ({
  entry: { id, service: 'llm', address: '', failureDomain, slots: 1, isDraining: false, startedAtMs: 0 },
  inFlight: 0,
  pool: { hasRoom: () => true },
  computeDurationMs: () => 0,
  ...part
}) as unknown as UpstreamState
const prompt = (shared: string, own: string, tokens = 12_000) => ({ tokens, parts: [{ id: shared, tokens: 5000 }, { id: own, tokens: tokens - 5000 }] })
const none = { domain: '', bytes: 0 }
const build = (demand: Partial<EngineDemand>): EngineDemand => ({ service: 'llm', prompt: prompt('s', 'p'), inputs: none, excludedIds: new Set(), ...demand })

t.test('requests that share a prompt part go to one engine, which reads it once, also when hosts do not talk', async t => {
  const engines = ['a', 'b', 'c', 'd'].map(id => createEngine(id))
  const place = (planner: EnginePlanner, own: string, nowMs: number) => planner.placeRequest(build({ prompt: prompt('shared', own, 6000) }), nowMs)?.entry.id
  const first = new EnginePlanner(() => engines)
  const second = new EnginePlanner(() => engines)
  const homes = [place(first, 'p', 0), place(first, 'q', 1000), place(second, 'r', 2000)]
  t.equal(new Set(homes).size, 1)
})

t.test('two long prompts at the same time go to different engines, because streams pause while one is read', async t => {
  const engines = ['a', 'b'].map(id => createEngine(id))
  const planner = new EnginePlanner(() => engines)
  const first = planner.placeRequest(build({ prompt: prompt('s1', 'p', 20_000) }), 0)
  const second = planner.placeRequest(build({ prompt: prompt('s1', 'q', 20_000) }), 0)
  t.not(first?.entry.id, second?.entry.id)
})

t.test('heavy stage results draw a request to their failure domain, light ones do not', async t => {
  const engines = [createEngine('a', 'x'), createEngine('b', 'y')]
  const place = (bytes: number, domain: string) => new EnginePlanner(() => engines).placeRequest(build({ prompt: { tokens: 100, parts: [] }, inputs: { domain, bytes } }), 0)?.entry.failureDomain
  t.equal(place(2_000_000, 'y'), 'y')
  t.equal(place(2_000_000, 'x'), 'x')
})

t.test('an engine that failed the request is tried again only when there is no other', async t => {
  const planner = new EnginePlanner(() => [createEngine('a')])
  t.equal(planner.placeRequest(build({ excludedIds: new Set(['a']) }), 0)?.entry.id, 'a')
  t.equal(new EnginePlanner(() => []).placeRequest(build({}), 0), undefined)
  const full = createEngine('b', 'x', { pool: { hasRoom: () => false } as UpstreamState['pool'] })
  t.equal(new EnginePlanner(() => [full]).placeRequest(build({}), 0), undefined)
})

t.test('the time kept free for the engine follows the slow requests of a route', async t => {
  const times = new EngineTimes()
  for (let i = 0; i < 2000; i++) times.observe('r', i % 20 === 0 ? 800 : 100)
  t.ok(times.getReserveMs('r') >= 90 && times.getReserveMs('r') <= 250, `${times.getReserveMs('r')} ms`)
  for (let i = 0; i < 2000; i++) times.observe('r', i % 5 === 0 ? 800 : 100)
  t.ok(times.getReserveMs('r') > 400, `${times.getReserveMs('r')} ms`)
})
