import t from 'tap'
import { chooseByRendezvous } from '../chooseByRendezvous.js'

t.test('reassigns only the keys of a member that leaves', t => {
  const members = Array.from({ length: 10 }, (_, i) => `host-${i}`)
  const keys = Array.from({ length: 2000 }, (_, i) => `key-${i}`)
  const moved = keys.filter(key => {
    const before = chooseByRendezvous(key, members, 1)[0]
    const after = chooseByRendezvous(key, members.slice(1), 1)[0]
    return before !== after && before !== 'host-0'
  })
  t.same(moved, [])
  t.end()
})

t.test('distributes keys evenly over the members', t => {
  const members = Array.from({ length: 10 }, (_, i) => `host-${i}`)
  const counts = new Map<string, number>()
  for (let i = 0; i < 10_000; i++) {
    const chosen = chooseByRendezvous(`key-${i}`, members, 1)[0] as string
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1)
  }
  t.ok([...counts.values()].every(count => count > 800 && count < 1200), 'each member holds 8 to 12 per cent')
  t.end()
})
