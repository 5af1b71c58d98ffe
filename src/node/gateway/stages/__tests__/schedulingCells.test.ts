import t from 'tap'
import { buildSchedulingCells } from '../buildSchedulingCells.js'
import { listRankedCells } from '../listRankedCells.js'
import type { UpstreamEntry } from '../../model/upstreamEntry.js'

const domains = ['quay-a', 'quay-b', 'quay-c', 'quay-d', 'quay-e', 'quay-f']

/** Upstreams of a service, spread evenly over the first `domainCount` domains. */
const buildEntries = (service: string, count: number, domainCount: number): readonly UpstreamEntry[] => Array.from({ length: count }, (_, i) => ({
  id: `${service}-${i}`, service, address: '127.0.0.1:1', failureDomain: domains[i % domainCount]!, slots: 1, isDraining: false, version: 'v1', startedAtMs: 0
}))
const buildCells = (counts: Readonly<Record<string, number>>, domainCount: number) => buildSchedulingCells(
  new Map(Object.entries(counts).map(([service, count]) => [service, buildEntries(service, count, domainCount)])),
  new Set(Object.keys(counts).filter(service => service !== 'llm'))
)

t.test('cells have enough upstreams of every service: calls of a smaller cell would be nearly empty', async t => {
  const deployments = [
    { counts: { a: 4, b: 4, c: 4, llm: 8 }, domainCount: 4 },
    { counts: { a: 4, b: 4, c: 4, llm: 13 }, domainCount: 3 },
    { counts: { a: 13, b: 10, c: 11, llm: 42 }, domainCount: 4 },
    { counts: { a: 30, b: 26, c: 30, llm: 109 }, domainCount: 6 },
    { counts: { a: 115, b: 100, c: 115, llm: 420 }, domainCount: 6 }
  ]
  t.matchSnapshot(deployments.map(({ counts, domainCount }) => buildCells(counts, domainCount).map(cell => cell.domains)))
  t.same(buildCells({ a: 0, b: 0 }, 3), [], 'no upstream is known yet')
})

t.test('the loss of a few upstreams does not change the cells: work in progress would stay with the old ones', async t => {
  const listDomains = (counts: Readonly<Record<string, number>>) => buildCells(counts, 6).map(cell => cell.domains)
  t.same(listDomains({ a: 24, b: 22, c: 25 }), listDomains({ a: 30, b: 26, c: 30 }))
})

t.test('jobs of one session go to one cell, and all jobs spread by the share of upstreams that they need', async t => {
  const cells = buildCells({ a: 32, b: 26 }, 6)
  const counts = cells.map(cell => Array.from({ length: 3000 }, (_, i) => listRankedCells(cells, `session-${i}`, ['a', 'b'])[0]).filter(first => first === cell).length / 3000)
  cells.forEach((cell, i) => {
    const expected = Math.min(...cell.shares.values())
    t.ok(Math.abs(counts[i]! - expected) < 0.05, `${cell.domains[0]}: ${counts[i]}, ${expected} of the upstreams`)
  })
  const first = listRankedCells(cells, 'session-1', ['a', 'b'])
  t.same(listRankedCells([...cells].reverse(), 'session-1', ['a', 'b']), first, 'the order in which a host sees the cells does not matter')
})

t.test('requests of one session go to one cell, whichever services they need: another cell would read their prompt again', async t => {
  const cells = buildCells({ a: 30, b: 26, c: 28, llm: 100 }, 6)
  for (let i = 0; i < 300; i++) {
    const [first] = listRankedCells(cells, `session-${i}`, ['a', 'b', 'c', 'llm'])
    for (const services of [['llm'], ['a', 'llm'], ['a', 'c', 'llm'], ['c']]) t.equal(listRankedCells(cells, `session-${i}`, services)[0], first)
  }
})

t.test('a cell that lost its last upstream of a service gets no job that needs it', async t => {
  const cells = [
    { domains: ['quay-a'], shares: new Map([['a', 0.5], ['b', 0]]) },
    { domains: ['quay-b'], shares: new Map([['a', 0.5], ['b', 1]]) }
  ]
  for (let i = 0; i < 20; i++) t.same(listRankedCells(cells, `s${i}`, ['a', 'b']).map(cell => cell.domains[0]), ['quay-b'])
  t.equal(listRankedCells(cells, 's', ['c']).length, 2, 'some cell refuses the job when no cell can serve it')
})
