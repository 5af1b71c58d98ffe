import t from 'tap'
import { FixedMembership } from '../../../../playground/fakes/fixedMembership.js'
import { LoopbackPeers } from '../../../../playground/fakes/loopbackPeers.js'
import { systemClock } from '../../../shared/systemClock.js'
import { DirectoryClient } from '../directoryClient.js'
import { RequestDirectory } from '../requestDirectory.js'
import { RequestEntry } from '../requestEntry.js'
import { RequestRegistrar } from '../requestRegistrar.js'
import { RequestRegistry } from '../requestRegistry.js'

t.test('an owner registers again after a timer gap, and a newer epoch stops its run', async t => {
  const self = { id: 'host-0', failureDomain: 'a', address: 'a', peerAddress: 'host-0', incarnation: 1, state: 'live' as const }
  const membership = new FixedMembership('host-0', new Map([['host-0', self]]))
  const directory = new RequestDirectory()
  const client = new DirectoryClient(directory, membership, new LoopbackPeers().createTransport('host-0'), systemClock)
  const registry = new RequestRegistry()
  let nowMs = 0
  const registrar = new RequestRegistrar({ clock: { readMonotonicMs: () => nowMs, readWallMs: () => nowMs }, membership, registry, directory: client })
  const entry = new RequestEntry({ account: 'pier', requestId: 'r', bodyHash: 'h' })
  entry.role = 'owner'
  entry.epoch = 1
  registry.add(entry)
  const signal = entry.startActivity()
  directory.register({ identity: entry.identity, ownerId: 'host-1', epoch: 2, finished: false }, 0)
  for (nowMs = 250; nowMs <= 1000; nowMs += 250) registrar.handleTick(nowMs)
  await Promise.resolve()
  t.notOk(signal.aborted, 'regular ticks do not register')
  registrar.handleTick(nowMs + 2000)
  await new Promise(resolve => setImmediate(resolve))
  t.match(signal.reason, { code: 'superseded' })
  t.equal(entry.newOwner?.ownerId, 'host-1')
})
