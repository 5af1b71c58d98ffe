import t from 'tap'
import { createSeededRandom } from '../../../shared/createSeededRandom.js'
import type { HostRecord } from '../../../types/hostRecord.js'
import type { HostState } from '../../../types/hostState.js'
import { chooseRouteAnswers } from '../chooseRouteAnswers.js'

function buildHost (id: string, failureDomain: string, state: HostState = 'live'): HostRecord {
  return { id, failureDomain, address: `${id}:1`, peerAddress: `${id}:2`, incarnation: 1, state }
}

t.test('never tells leaving or dead hosts, and more than one failure domain', t => {
  const hosts = [buildHost('a', '1'), buildHost('b', '1'), buildHost('c', '1'), buildHost('d', '2'), buildHost('e', '2', 'leaving'), buildHost('f', '3', 'dead'), buildHost('g', '3', 'suspect')]
  const random = createSeededRandom(1)
  for (let i = 0; i < 100; i++) {
    const answers = chooseRouteAnswers(hosts, new Map(), 2, random)
    t.ok(answers.every(host => host.state === 'live'))
    t.equal(new Set(answers.map(host => host.failureDomain)).size, 2)
  }
  t.end()
})

t.test('tells loaded hosts less often', t => {
  const hosts = ['a', 'b', 'c', 'd'].map(id => buildHost(id, id))
  const random = createSeededRandom(2)
  let loaded = 0
  for (let i = 0; i < 1000; i++) if (chooseRouteAnswers(hosts, new Map([['a', 0.9]]), 1, random)[0]?.id === 'a') loaded++
  t.ok(loaded > 0 && loaded < 60, `${loaded} of 1000`)
  t.end()
})
