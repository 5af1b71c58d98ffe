import t from 'tap'
import { chooseConnectionSubset } from '../chooseConnectionSubset.js'

const upstreams = Array.from({ length: 120 }, (_, i) => `runner-${i}`)
const hosts = Array.from({ length: 30 }, (_, i) => `host-${i}`)
const size = 20

t.test('spreads the connections evenly over the upstreams', t => {
  const counts = new Map(upstreams.map(id => [id, 0]))
  for (const host of hosts) for (const id of chooseConnectionSubset(host, hosts, upstreams, size)) counts.set(id, (counts.get(id) ?? 0) + 1)
  // The mean is 5; independent choices would range from 0 to about 11.
  t.same([Math.min(...counts.values()), Math.max(...counts.values())], [5, 5])
  t.end()
})

t.test('changes few connections of the remaining hosts when a host leaves', t => {
  let changed = 0
  for (const host of hosts.slice(1)) {
    const before = new Set(chooseConnectionSubset(host, hosts, upstreams, size))
    changed += chooseConnectionSubset(host, hosts.slice(1), upstreams, size).filter(id => !before.has(id)).length
  }
  const share = changed / ((hosts.length - 1) * size)
  t.ok(share < 0.15, `${share} of the connections moved`)
  t.end()
})

t.test('connects to all upstreams of a small pool', t => {
  t.equal(chooseConnectionSubset('host-1', hosts, upstreams.slice(0, 8), size).length, 8)
  t.end()
})
