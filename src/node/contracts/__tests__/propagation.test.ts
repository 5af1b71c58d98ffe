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

// Each of these options disables one mechanism. The tests use them to show that they fail without it.
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

t.test('of two concurrent changes, compare-and-swap accepts one and reports a revision conflict to the other', async t => {
  const cluster = await runRace({})
  t.same(cluster.validateHistory(), [])
  t.ok(cluster.isInForce('pier', 1))
  t.equal(await cluster.runChange('host-2', 'pier', 0), 'revision_conflict')
  const unchecked = await runRace(createServiceWith(service => ({
    compareAndSwap: async (key, _version, value) => {
      for (;;) {
        const result = await service.compareAndSwap(key, (await service.read(key))?.version ?? 0, value)
        if (result.swapped) return result
      }
    }
  })))
  t.ok(unchecked.validateHistory().some(fault => fault.includes('accepted twice')), 'fails without compare-and-swap')
})

async function runLostResponse (switches: Switches): Promise<{ cluster: ContractCluster, result: number | string }> {
  const cluster = await startContractCluster(2, switches)
  let losses = 1
  cluster.service.isAnswerLost = key => key === 'contracts/pier' && losses-- > 0
  const result = await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  return { cluster, result }
}

t.test('the outcome of a write with a lost response is found by reading back its token', async t => {
  const { cluster, result } = await runLostResponse({})
  t.equal(result, 1)
  t.same(cluster.validateHistory(), [])
  const disabled = await runLostResponse(createServiceWith(service => ({
    read: async key => {
      const entry = await service.read(key)
      return entry && { ...entry, value: entry.value.replaceAll(/"token":"[^"]*"/g, '"token":"unreadable"') }
    }
  })))
  t.not(disabled.result, 1, 'fails without the token')
  t.not(disabled.cluster.validateHistory().length, 0)
})

t.test('a write with a lost response is found even after a newer revision of another operator', async t => {
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

t.test('during an outage unconfirmed hosts reject changes, and a change that took effect with an uncertain outcome holds afterwards', async t => {
  t.same(await runOutage({}), [1, 'contract_change_uncertain', 'host_unconfirmed', 'revision_conflict', 3])
  const disabled = await runOutage({
    wrapTransport: transport => ({
      send: async (address, method, request, timeoutMs) => {
        const response = await transport.send(address, method, request, timeoutMs)
        return method.path === peerMethods.contractDigest.path ? { ...response, confirmedAgeMs: 0 } : response
      },
      openStream: transport.openStream,
      handle: transport.handle,
      handleStream: transport.handleStream
    })
  })
  t.not(disabled[2], 'host_unconfirmed', 'fails if hosts report a wrong confirmation age')
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

t.test('a host that starts during an outage loads the contracts, including deletions, from its peers', async t => {
  const cluster = await runStartInOutage({})
  t.ok(cluster.contracts.get('late')?.isReady())
  t.ok(cluster.isInForce('pier', 1, ['late']))
  t.ok(cluster.isInForce('quay', 2, ['late']))
  t.equal(cluster.contracts.get('late')?.store.find('quay'), undefined)
  t.same(cluster.validateHistory(), [])
  const disabled = await runStartInOutage(createTransportWithout('contractDigest'))
  t.notOk(disabled.contracts.get('late')?.isReady(), 'fails without the digest exchange')
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

t.test('a host frozen during two changes gets the newest within 5 s through the digest exchange and never an older one', async t => {
  const { cluster, frozen } = await runFreeze({})
  t.ok(cluster.isInForce('pier', 3))
  t.same(cluster.validateHistory(), [])
  const disabled = await runFreeze(createTransportWithout('contractDigest'))
  t.notOk(disabled.cluster.isInForce('pier', 3, [disabled.frozen]), 'fails without the digest exchange')
  t.ok(frozen)
})

async function runCutFromService (switches: Switches): Promise<{ cluster: ContractCluster, cut: string[] }> {
  const cluster = await startContractCluster(7, switches)
  const cut = [...cluster.hosts.values()].filter(host => host.membership.getSelf().failureDomain !== 'quay-0').map(host => host.id)
  for (const id of cut) (cluster.keyValueConnections.get(id) as { isCut: boolean }).isCut = true
  await cluster.clock.runFor(12_000)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  return { cluster, cut }
}

t.test('hosts cut off from the service but not from each other stay confirmed and get changes through other hosts', async t => {
  const { cluster, cut } = await runCutFromService({})
  t.ok(cluster.isInForce('pier', 1))
  t.ok(cut.every(id => cluster.contracts.get(id)?.isConfirmed()))
  t.same(cluster.validateHistory(), [])
  const disabled = await runCutFromService(createTransportWithout('contractDigest', 'pushContracts'))
  t.notOk(disabled.cluster.isInForce('pier', 1, disabled.cut), 'fails without pushes and digest exchange')
  t.notOk(disabled.cut.some(id => disabled.cluster.contracts.get(id)?.isConfirmed()))
})

async function runCutFromHosts (switches: Switches): Promise<ContractCluster> {
  const cluster = await startContractCluster(8, switches)
  cluster.network.isCut = () => true
  await cluster.clock.runFor(15_000)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(5000)
  return cluster
}

t.test('hosts cut off from each other but not from the service get changes through their own watches', async t => {
  const cluster = await runCutFromHosts({})
  t.ok(cluster.isInForce('pier', 1))
  t.ok([...cluster.contracts.values()].every(host => host.isConfirmed()))
  const disabled = await runCutFromHosts(withoutWatch)
  t.notOk(disabled.isInForce('pier', 1), 'fails without watches')
})

async function runCrashAfterAcceptance (switches: Switches, isWatchLossy: boolean, waitMs: number): Promise<ContractCluster> {
  const cluster = await startContractCluster(9, switches)
  if (isWatchLossy) for (const link of cluster.keyValueConnections.values()) link.isChangeLost = () => true
  // Writes the change to the service directly, as if the host that accepted it had died before pushing it.
  await cluster.service.compareAndSwap('contracts/pier', 0, encodeRevision({ account: 'pier', revision: 1, contract: null, operator: 'op', atMs: 0, token: 'x' }))
  await cluster.clock.runFor(waitMs)
  return cluster
}

t.test('a change whose host died right after accepting it is in force within 5 s through the watches', async t => {
  t.ok((await runCrashAfterAcceptance({}, false, 5000)).isInForce('pier', 1))
  t.notOk((await runCrashAfterAcceptance(withoutWatch, false, 5000)).isInForce('pier', 1), 'fails without watches')
})

t.test('a change missed by every watch is found by the full comparison', async t => {
  t.ok((await runCrashAfterAcceptance({}, true, 150_000)).isInForce('pier', 1))
  let listed: ReturnType<KeyValueService['list']> | undefined
  const stale = createServiceWith(service => ({ list: async prefix => await (listed ??= service.list(prefix)) }))
  t.notOk((await runCrashAfterAcceptance(stale, true, 150_000)).isInForce('pier', 1), 'fails if the comparison reads stale contracts')
})

async function runPush (switches: Switches): Promise<number | undefined> {
  const cluster = await startContractCluster(10, switches, 24)
  await cluster.runChange('host-0', 'pier', 0)
  return await cluster.runUntil(() => cluster.isInForce('pier', 1), 20_000)
}

t.test('a change reaches most hosts within 300 ms because each host pushes it to three others', async t => {
  const ms = await runPush(withoutWatch)
  t.ok(ms !== undefined && ms <= 5000, 'reaches every host within 5 s')
  const cluster = await startContractCluster(10, createTransportWithout('contractDigest'), 24)
  await cluster.runChange('host-0', 'pier', 0)
  await cluster.clock.runFor(300)
  const reached = [...cluster.contracts.keys()].filter(id => cluster.isInForce('pier', 1, [id])).length
  t.ok(reached >= 18, `pushes alone reach most hosts (${reached} of 24)`)
  const disabled = await startContractCluster(10, { ...createTransportWithout('contractDigest', 'pushContracts'), wrapService: withoutWatch?.wrapService }, 24)
  await disabled.runChange('host-0', 'pier', 0)
  await disabled.clock.runFor(300)
  t.ok(disabled.isInForce('pier', 1, ['host-0']) && !disabled.isInForce('pier', 1, ['host-1']), 'fails without pushes')
})

t.test('the contract status asks every host and reports a silent one', async t => {
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
