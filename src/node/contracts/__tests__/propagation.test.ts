import t from 'tap'
import type { ContractCluster } from '../../../../playground/fakes/contractCluster.js'
import { startContractCluster } from '../../../../playground/fakes/startContractCluster.js'
import { PeerUnavailableError } from '../../../shared/peerUnavailableError.js'
import type { KeyValueService } from '../../../types/keyValueService.js'
import type { PeerTransport } from '../../../types/peerTransport.js'
import { peerMethods } from '../../peers/peerMethods.js'
import { chooseWatchers } from '../chooseWatchers.js'
import { encodeRevision } from '../encodeRevision.js'

type Switches = Parameters<typeof startContractCluster>[1]

function listWatchers (cluster: ContractCluster): readonly string[] {
  const hosts = cluster.hosts.get('host-0')?.membership.listHosts() ?? []
  return ['quay-0', 'quay-1', 'quay-2'].flatMap(domain => chooseWatchers(domain, hosts))
}

// Switches: each replaces a collaborator so that one mechanism has no effect.
function createTransportWithout (...names: ReadonlyArray<'pushContracts' | 'contractDigest'>): Switches {
  const paths = names.map(name => peerMethods[name].path)
  return {
    wrapTransport: transport => ({
      send: async (address, method, request, timeoutMs) => {
        if (paths.includes(method.path)) throw new PeerUnavailableError('switched off')
        return await transport.send(address, method, request, timeoutMs)
      },
      openStream: transport.openStream,
      handle: transport.handle,
      handleStream: transport.handleStream
    } satisfies PeerTransport)
  }
}

function createServiceWith (replace: (service: KeyValueService) => Partial<KeyValueService>): Switches {
  return {
    wrapService: service => ({
      read: async key => await service.read(key),
      list: async prefix => await service.list(prefix),
      compareAndSwap: async (key, version, value) => await service.compareAndSwap(key, version, value),
      remove: async (key, version) => await service.remove(key, version),
      grantLease: async ttlMs => await service.grantLease(ttlMs),
      updateLease: async id => await service.updateLease(id),
      removeLease: async id => { await service.removeLease(id) },
      watch: (prefix, revision, onChange, signal, onAlive) => { service.watch(prefix, revision, onChange, signal, onAlive) },
      ...replace(service)
    })
  }
}

const withoutWatch = createServiceWith(() => ({ watch: () => {} }))

async function runRace (switches: Switches): Promise<ContractCluster> {
  const cluster = await startContractCluster(1, switches)
  await Promise.all([cluster.runChange('host-0', 'pier', 0), cluster.writeChange('host-1', 'pier', 0)])
  await cluster.clock.runFor(5000)
  return cluster
}

t.test('two operators at once: compare-and-swap accepts one and tells the other the winning revision', async t => {
  const cluster = await runRace({})
  t.same(cluster.validateHistory(), [])
  t.ok(cluster.isInForce('pier', 1))
  t.equal(await cluster.runChange('host-2', 'pier', 0), 'revision_conflict')
  const blind = await runRace(createServiceWith(service => ({
    compareAndSwap: async (key, _version, value) => {
      for (;;) {
        const result = await service.compareAndSwap(key, (await service.read(key))?.version ?? 0, value)
        if (result.swapped) return result
      }
    }
  })))
  t.ok(blind.validateHistory().some(fault => fault.includes('accepted twice')), 'fails without compare-and-swap')
})

async function runLostAnswer (switches: Switches): Promise<{ cluster: ContractCluster, result: number | string }> {
  const cluster = await startContractCluster(2, switches)
  let losses = 1
  cluster.service.isAnswerLost = key => key === 'contracts/pier' && losses-- > 0
  const result = await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  return { cluster, result }
}

t.test('a write with a lost answer is settled by reading back the token', async t => {
  const { cluster, result } = await runLostAnswer({})
  t.equal(result, 1)
  t.same(cluster.validateHistory(), [])
  const off = await runLostAnswer(createServiceWith(service => ({
    read: async key => {
      const entry = await service.read(key)
      return entry && { ...entry, value: entry.value.replaceAll(/"token":"[^"]*"/g, '"token":"unreadable"') }
    }
  })))
  t.not(off.result, 1, 'fails without the token')
  t.not(off.cluster.validateHistory().length, 0)
})

t.test('an own write with a lost answer is found below newer revisions of other operators', async t => {
  const cluster = await startContractCluster(3)
  let isLost = true
  cluster.service.isAnswerLost = key => key === 'contracts/pier' && isLost
  const first = cluster.writeChange('host-0', 'pier', 0)
  await cluster.clock.runFor(10)
  isLost = false
  t.equal(await cluster.runChange('host-1', 'pier', 1), 2)
  await cluster.clock.runFor(1000)
  t.equal(await first, 1)
  t.same(cluster.validateHistory(), [])
})

async function runOutage (switches: Switches): Promise<ReadonlyArray<number | string>> {
  const cluster = await startContractCluster(4, switches)
  const results = [await cluster.runChange('host-0', 'pier', 0)]
  cluster.service.isAnswerLost = () => { cluster.service.outage = true; return true }
  results.push(await cluster.runChange('host-1', 'pier', 1))
  cluster.service.isAnswerLost = () => false
  await cluster.clock.runFor(12_000)
  results.push(await cluster.runChange('host-2', 'pier', 1))
  cluster.service.outage = false
  await cluster.clock.runFor(5000)
  results.push(await cluster.runChange('host-3', 'pier', 1), await cluster.runChange('host-3', 'pier', 2))
  await cluster.clock.runFor(5000)
  if (!cluster.isInForce('pier', 3)) results.push('not in force')
  return results.concat(cluster.validateHistory())
}

t.test('an outage during and after a change: hosts without confirmation say so, and the change holds afterwards', async t => {
  t.same(await runOutage({}), [1, 'contract_change_uncertain', 'host_unconfirmed', 'revision_conflict', 3])
  const off = await runOutage({
    wrapTransport: transport => ({
      send: async (address, method, request, timeoutMs) => {
        const answer = await transport.send(address, method, request, timeoutMs)
        return method.path === peerMethods.contractDigest.path ? { ...answer, confirmedAgeMs: 0 } : answer
      },
      openStream: transport.openStream,
      handle: transport.handle,
      handleStream: transport.handleStream
    })
  })
  t.not(off[2], 'host_unconfirmed', 'fails when hosts do not pass on the true age of their confirmation')
})

async function runStartInOutage (switches: Switches): Promise<ContractCluster> {
  const cluster = await startContractCluster(5, switches)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.runChange('host-0', 'quay', 0)
  await cluster.runChange('host-0', 'quay', 1, true)
  await cluster.clock.runFor(5000)
  cluster.service.outage = true
  cluster.addHost('late')
  await cluster.clock.runFor(5000)
  return cluster
}

t.test('a host that starts in an outage takes the contracts, deletions included, from its peers', async t => {
  const cluster = await runStartInOutage({})
  t.ok(cluster.contracts.get('late')?.isReady())
  t.ok(cluster.isInForce('pier', 1, ['late']))
  t.ok(cluster.isInForce('quay', 2, ['late']))
  t.equal(cluster.contracts.get('late')?.store.find('quay'), undefined)
  t.same(cluster.validateHistory(), [])
  const off = await runStartInOutage(createTransportWithout('contractDigest'))
  t.notOk(off.contracts.get('late')?.isReady(), 'fails without the exchange between hosts')
})

async function runFreeze (switches: Switches): Promise<{ cluster: ContractCluster, frozen: string }> {
  const cluster = await startContractCluster(6, switches)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(4000)
  const watchers = listWatchers(cluster)
  const frozen = [...cluster.contracts.keys()].find(id => !watchers.includes(id)) as string
  cluster.network.setFrozen(frozen, true)
  await cluster.runChange(watchers[0] as string, 'pier', 1)
  await cluster.clock.runFor(15_000)
  await cluster.runChange(watchers[0] as string, 'pier', 2, true)
  await cluster.clock.runFor(15_000)
  cluster.network.setFrozen(frozen, false)
  await cluster.clock.runFor(5000)
  return { cluster, frozen }
}

t.test('a host frozen across two changes has the newest within 5 s and never an older one: digest exchange', async t => {
  const { cluster, frozen } = await runFreeze({})
  t.ok(cluster.isInForce('pier', 3))
  t.same(cluster.validateHistory(), [])
  const off = await runFreeze(createTransportWithout('contractDigest'))
  t.notOk(off.cluster.isInForce('pier', 3, [off.frozen]), 'fails without the exchange')
  t.ok(frozen)
})

async function runCutFromService (switches: Switches): Promise<{ cluster: ContractCluster, cut: string[] }> {
  const cluster = await startContractCluster(7, switches)
  const cut = [...cluster.hosts.values()].filter(host => host.membership.getSelf().failureDomain !== 'quay-0').map(host => host.id)
  for (const id of cut) (cluster.links.get(id) as { isCut: boolean }).isCut = true
  await cluster.clock.runFor(12_000)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  return { cluster, cut }
}

t.test('hosts cut from the service but not from each other stay confirmed and get changes through other hosts', async t => {
  const { cluster, cut } = await runCutFromService({})
  t.ok(cluster.isInForce('pier', 1))
  t.ok(cut.every(id => cluster.contracts.get(id)?.isConfirmed()))
  t.same(cluster.validateHistory(), [])
  const off = await runCutFromService(createTransportWithout('contractDigest', 'pushContracts'))
  t.notOk(off.cluster.isInForce('pier', 1, off.cut), 'fails without the links between hosts')
  t.notOk(off.cut.some(id => off.cluster.contracts.get(id)?.isConfirmed()))
})

async function runCutFromHosts (switches: Switches): Promise<ContractCluster> {
  const cluster = await startContractCluster(8, switches)
  cluster.network.isCut = () => true
  await cluster.clock.runFor(15_000)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  return cluster
}

t.test('hosts cut from each other but not from the service get changes by their own watches', async t => {
  const cluster = await runCutFromHosts({})
  t.ok(cluster.isInForce('pier', 1))
  t.ok([...cluster.contracts.values()].every(host => host.isConfirmed()))
  const off = await runCutFromHosts(withoutWatch)
  t.notOk(off.isInForce('pier', 1), 'fails without watches')
})

async function runOrphan (switches: Switches, isWatchLossy: boolean, waitMs: number): Promise<ContractCluster> {
  const cluster = await startContractCluster(9, switches)
  if (isWatchLossy) for (const link of cluster.links.values()) link.isChangeLost = () => true
  // The host that accepted the change died before it could pass it on.
  await cluster.service.compareAndSwap('contracts/pier', 0, encodeRevision({ account: 'pier', revision: 1, contract: null, operator: 'op', atMs: 0, token: 'x' }))
  await cluster.clock.runFor(waitMs)
  return cluster
}

t.test('a change whose host died right after the acceptance is in force within 5 s: watches', async t => {
  t.ok((await runOrphan({}, false, 5000)).isInForce('pier', 1))
  t.notOk((await runOrphan(withoutWatch, false, 5000)).isInForce('pier', 1), 'fails without watches')
})

t.test('a change that every watch missed is found by the full comparison', async t => {
  t.ok((await runOrphan({}, true, 150_000)).isInForce('pier', 1))
  let listed: ReturnType<KeyValueService['list']> | undefined
  const stale = createServiceWith(service => ({ list: async prefix => await (listed ??= service.list(prefix)) }))
  t.notOk((await runOrphan(stale, true, 150_000)).isInForce('pier', 1), 'fails when the comparison sees nothing')
})

async function runPush (switches: Switches): Promise<number | undefined> {
  const cluster = await startContractCluster(10, switches, 24)
  await cluster.runChange('host-0', 'pier', 0)
  return await cluster.runUntil(() => cluster.isInForce('pier', 1), 20_000)
}

t.test('a change reaches every host without waiting for digests: push to three hosts at once', async t => {
  const ms = await runPush(withoutWatch)
  t.ok(ms !== undefined && ms <= 5000, 'within the bound of 5 s')
  const cluster = await startContractCluster(10, createTransportWithout('contractDigest'), 24)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(300)
  const reached = [...cluster.contracts.keys()].filter(id => cluster.isInForce('pier', 1, [id])).length
  t.ok(reached >= 18, `push alone reaches most hosts (${reached} of 24)`)
  const off = await startContractCluster(10, { ...createTransportWithout('contractDigest', 'pushContracts'), wrapService: withoutWatch?.wrapService }, 24)
  await off.runChange('host-0', 'pier', 0)
  await off.clock.runFor(300)
  t.ok(off.isInForce('pier', 1, ['host-0']) && !off.isInForce('pier', 1, ['host-1']), 'fails without push')
})

t.test('in force on n of n asks every host, and a silent or stale one is named', async t => {
  const cluster = await startContractCluster(11, {}, 4)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  let status = cluster.contracts.get('host-0')?.readStatus('pier')
  await cluster.clock.runFor(3000)
  t.match(await status, { accepted: 1, acceptedConfirmed: true, inForce: 4, hosts: 4 })
  cluster.network.setFrozen('host-3', true)
  status = cluster.contracts.get('host-0')?.readStatus('pier')
  await cluster.clock.runFor(1500)
  t.match(await status, { accepted: 1, inForce: 3, hosts: 4 })
  t.equal((await status)?.perHost.find(entry => entry.host === 'host-3')?.state, 'silent')
})
