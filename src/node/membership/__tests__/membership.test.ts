import t from 'tap'
import { MembershipCluster } from '../../../../playground/fakes/membershipCluster.js'

const seeds = [1, 2, 3]

function hasState (cluster: MembershipCluster, observers: readonly string[], subjects: readonly string[], state: string): boolean {
  return subjects.every(host => cluster.listStates(observers, host).every(seen => seen === state))
}

async function startCluster (seed: number, count: number): Promise<{ cluster: MembershipCluster, ids: string[] }> {
  const cluster = new MembershipCluster(seed)
  cluster.addHosts(count)
  const ids = [...cluster.hosts.keys()]
  await cluster.runUntil(() => hasState(cluster, ids, ids, 'live'), 20_000)
  return { cluster, ids }
}

for (const seed of seeds) {
  t.test(`hosts that start together discover each other and a host that joins later (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 20)
    t.ok(hasState(cluster, ids, ids, 'live'), 'every host sees every host live')
    cluster.addHost('late')
    t.ok(await cluster.runUntil(() => hasState(cluster, ids, ['late'], 'live'), 5000) !== undefined, 'every host sees the new host within 5 s')
  })

  t.test(`a crashed host is declared dead although the host list still contains it (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 20)
    cluster.network.removeHost('host-3')
    const rest = ids.filter(id => id !== 'host-3')
    t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-3'], 'dead'), 10_000) !== undefined, 'dead everywhere within 10 s')
    await cluster.clock.runFor(30_000)
    t.ok(hasState(cluster, rest, ['host-3'], 'dead'), 'stays dead')
    t.ok(hasState(cluster, rest, rest, 'live'), 'no other host is suspected')
  })

  t.test(`a host frozen longer than every timeout rejoins and suspects no other host (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 12)
    const rest = ids.filter(id => id !== 'host-5')
    cluster.network.setFrozen('host-5', true)
    t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-5'], 'dead'), 10_000) !== undefined, 'the other hosts consider the frozen host dead')
    await cluster.clock.runFor(20_000)
    const deaths: string[] = []
    cluster.hosts.get('host-5')?.membership.onChange(host => { if (host.state === 'dead' && host.id !== 'host-5') deaths.push(host.id) })
    cluster.network.setFrozen('host-5', false)
    t.ok(await cluster.runUntil(() => hasState(cluster, ids, ids, 'live'), 10_000) !== undefined, 'all live again within 10 s')
    await cluster.clock.runFor(5000)
    t.same(deaths, [], 'the resumed host declares no live host dead')
  })

  t.test(`both sides of a partition keep working and merge once it heals (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 12)
    const left = new Set(ids.slice(0, 5))
    const right = ids.slice(5)
    cluster.network.isCut = (from, to) => left.has(from) !== left.has(to)
    t.ok(await cluster.runUntil(() => hasState(cluster, [...left], right, 'dead') && hasState(cluster, right, [...left], 'dead'), 20_000) !== undefined, 'each side considers the other dead')
    t.ok(hasState(cluster, right, right, 'live'), 'hosts of the same side stay live')
    await cluster.clock.runFor(30_000)
    cluster.network.isCut = () => false
    t.ok(await cluster.runUntil(() => hasState(cluster, ids, ids, 'live'), 15_000) !== undefined, 'all hosts are live again within 15 s')
  })
}

t.test('message loss alone does not kill a host, because suspicions are refuted', async t => {
  const { cluster, ids } = await startCluster(4, 12)
  cluster.network.lossShare = 0.05
  const deaths: string[] = []
  for (const host of cluster.hosts.values()) host.membership.onChange(record => { if (record.state === 'dead') deaths.push(record.id) })
  await cluster.clock.runFor(120_000)
  t.same(deaths, [])
  t.equal(ids.length, 12)
})

t.test('a leaving host is reported as leaving, then as dead without waiting for timeouts', async t => {
  const { cluster, ids } = await startCluster(5, 12)
  const rest = ids.filter(id => id !== 'host-2')
  cluster.hosts.get('host-2')?.membership.startLeaving()
  t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-2'], 'leaving'), 5000) !== undefined)
  cluster.hosts.get('host-2')?.membership.stop().catch(() => {})
  t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-2'], 'dead'), 5000) !== undefined)
})

t.test('a restarted host with the same id replaces its previous record within 5 s', async t => {
  const { cluster, ids } = await startCluster(6, 8)
  cluster.network.removeHost('host-1')
  await cluster.clock.runFor(10_000)
  cluster.addHost('host-1')
  t.ok(await cluster.runUntil(() => hasState(cluster, ids, ['host-1'], 'live'), 5000) !== undefined)
})

t.test('an event reaches each host once, and repeated events with the same subject are suppressed', async t => {
  const { cluster } = await startCluster(7, 20)
  const seen: string[] = []
  for (const host of cluster.hosts.values()) host.membership.onEvent(event => { seen.push(`${host.id} ${event.subject}`) })
  for (let i = 0; i < 10; i++) cluster.hosts.get('host-0')?.membership.sendEvent('upstream_leaving', 'runner-1')
  t.ok(await cluster.runUntil(() => seen.length === 19, 3000) !== undefined, 'all other hosts receive it within 3 s')
  await cluster.clock.runFor(10_000)
  t.equal(new Set(seen).size, seen.length)
})

t.test('the message size stays bounded when many hosts fail at once', async t => {
  const { cluster } = await startCluster(8, 60)
  for (let i = 30; i < 60; i++) cluster.network.removeHost(`host-${i}`)
  cluster.network.takeTraffic()
  await cluster.clock.runFor(10_000)
  const traffic = [...cluster.network.takeTraffic()].slice(0, 30)
  t.ok(traffic.every(([, { bytes, messages }]) => bytes / messages < 1000), 'no host exceeds an average of 1000 bytes per message')
})
