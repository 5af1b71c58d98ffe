import t from 'tap'
import { createSilentLogger } from '../../../../playground/fakes/createSilentLogger.js'
import { createMemoryMetrics } from '../../../../playground/fakes/createMemoryMetrics.js'
import { MemoryKeyValueService } from '../../../../playground/fakes/memoryKeyValueService.js'
import type { HostListEntry } from '../../../types/hostListEntry.js'
import { createAccountLimiter } from '../../limits/createAccountLimiter.js'
import { createMembership } from '../../membership/createMembership.js'
import { createGrpcPeerTransport } from '../../peers/createGrpcPeerTransport.js'
import { createContracts } from '../createContracts.js'

async function waitUntil (isReached: () => boolean): Promise<boolean> {
  for (let i = 0; i < 400 && !isReached(); i++) await new Promise(resolve => setTimeout(resolve, 50))
  return isReached()
}

t.test('membership, contracts and limits work over gRPC, which may decode integers as 64-bit objects', async t => {
  const service = new MemoryKeyValueService()
  const listed: HostListEntry[] = []
  const logger = createSilentLogger()
  const hosts = await Promise.all([0, 1, 2].map(async i => {
    const metrics = createMemoryMetrics()
    const hostId = `host-${i}`
    const transport = createGrpcPeerTransport({ hostId, secret: 'harbour', metrics })
    const peerAddress = `127.0.0.1:${await transport.start('127.0.0.1:0')}`
    const location = { address: `127.0.0.1:${1000 + i}`, peerAddress, failureDomain: `quay-${i}` }
    listed.push({ id: hostId, ...location, role: 'entry', state: 'live' })
    const membership = createMembership({ hostId, ...location, transport, hostList: { read: async () => listed }, logger, metrics })
    const contracts = createContracts({ service, transport, membership, logger, metrics })
    const limiter = createAccountLimiter({ contracts: contracts.store, transport, membership, metrics })
    t.teardown(async () => {
      limiter.stop()
      contracts.stop()
      await membership.stop()
      await transport.stop()
    })
    return { membership, contracts, limiter, metrics }
  }))
  await Promise.all(hosts.map(async host => {
    await host.membership.start()
    await host.contracts.start()
    host.limiter.start()
  }))
  t.ok(await waitUntil(() => hosts.every(host => host.membership.listHosts().length === 3)), 'every host knows every other host')
  const contract = { account: 'pier', tokenDigests: [], requestsPerSecond: 10, tokensPerSecond: 0, kinds: {} }
  await hosts[0]?.contracts.writeChange({ account: 'pier', contract, expectedRevision: 0, operator: 'ivana' })
  t.ok(await waitUntil(() => hosts.every(host => host.contracts.store.find('pier') !== undefined)), 'the contract is in force on every host')
  t.match(await hosts[1]?.contracts.readStatus('pier'), { accepted: 1, inForce: 3, hosts: 3 }, 'revision 1 is in force on 3 of 3 hosts')
  for (const { limiter } of hosts) {
    await limiter.waitForCredit('pier', 2000)
    t.equal(limiter.take('pier', performance.now()).granted, true)
  }
  t.ok(JSON.parse(hosts[2]?.metrics.render() ?? '{}').peer_bytes_sent_total > 0, 'the bytes sent to peers are counted')
})
