import t from 'tap'
import { MembershipCluster } from '../../../../playground/fakes/membershipCluster.js'

const seeds = [1, 2, 3]

function hasState (cluster: MembershipCluster, ids: readonly string[], about: readonly string[], state: string): boolean {
  return about.every(host => cluster.listStates(ids, host).every(seen => seen === state))
}

async function startCluster (seed: number, count: number): Promise<{ cluster: MembershipCluster, ids: string[] }> {
  const cluster = new MembershipCluster(seed)
  cluster.addHosts(count)
  const ids = [...cluster.hosts.keys()]
  await cluster.runUntil(() => hasState(cluster, ids, ids, 'live'), 20_000)
  return { cluster, ids }
}

for (const seed of seeds) {
  t.test(`hosts that start together and one that joins later find each other (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 20)
    t.ok(hasState(cluster, ids, ids, 'live'), 'all see all')
    cluster.addHost('late')
    t.ok(await cluster.runUntil(() => hasState(cluster, ids, ['late'], 'live'), 5000) !== undefined, 'all see the new host within 5 s')
  })

  t.test(`a crashed host is found dead although the host list still names it (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 20)
    cluster.network.removeHost('host-3')
    const rest = ids.filter(id => id !== 'host-3')
    t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-3'], 'dead'), 10_000) !== undefined, 'dead everywhere within 10 s')
    await cluster.clock.runFor(30_000)
    t.ok(hasState(cluster, rest, ['host-3'], 'dead'), 'stays dead')
    t.ok(hasState(cluster, rest, rest, 'live'), 'nobody else is accused')
  })

  t.test(`a host frozen longer than every timeout comes back and accuses nobody (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 12)
    const rest = ids.filter(id => id !== 'host-5')
    cluster.network.setFrozen('host-5', true)
    t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-5'], 'dead'), 10_000) !== undefined, 'the frozen host is dead to others')
    await cluster.clock.runFor(20_000)
    const deaths: string[] = []
    cluster.hosts.get('host-5')?.membership.onChange(host => { if (host.state === 'dead' && host.id !== 'host-5') deaths.push(host.id) })
    cluster.network.setFrozen('host-5', false)
    t.ok(await cluster.runUntil(() => hasState(cluster, ids, ids, 'live'), 10_000) !== undefined, 'all live again within 10 s')
    await cluster.clock.runFor(5000)
    t.same(deaths, [], 'the resumed host declares no live host dead')
  })

  t.test(`both sides of a partition go on and find each other after it (seed ${seed})`, async t => {
    const { cluster, ids } = await startCluster(seed, 12)
    const left = new Set(ids.slice(0, 5))
    const right = ids.slice(5)
    cluster.network.isCut = (from, to) => left.has(from) !== left.has(to)
    t.ok(await cluster.runUntil(() => hasState(cluster, [...left], right, 'dead') && hasState(cluster, right, [...left], 'dead'), 20_000) !== undefined, 'the other side is dead')
    t.ok(hasState(cluster, right, right, 'live'), 'the own side is live')
    await cluster.clock.runFor(30_000)
    cluster.network.isCut = () => false
    t.ok(await cluster.runUntil(() => hasState(cluster, ids, ids, 'live'), 15_000) !== undefined, 'whole again within 15 s')
  })
}

t.test('lost messages alone make no host dead: suspicions are refuted', async t => {
  const { cluster, ids } = await startCluster(4, 12)
  cluster.network.lossShare = 0.05
  const deaths: string[] = []
  for (const host of cluster.hosts.values()) host.membership.onChange(record => { if (record.state === 'dead') deaths.push(record.id) })
  await cluster.clock.runFor(120_000)
  t.same(deaths, [])
  t.equal(ids.length, 12)
})

t.test('a leaving host is seen leaving, then gone without waiting for timeouts', async t => {
  const { cluster, ids } = await startCluster(5, 12)
  const rest = ids.filter(id => id !== 'host-2')
  cluster.hosts.get('host-2')?.membership.startLeaving()
  t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-2'], 'leaving'), 5000) !== undefined)
  cluster.hosts.get('host-2')?.membership.stop().catch(() => {})
  t.ok(await cluster.runUntil(() => hasState(cluster, rest, ['host-2'], 'dead'), 5000) !== undefined)
})

t.test('a restarted host with the same id replaces its former life at once', async t => {
  const { cluster, ids } = await startCluster(6, 8)
  cluster.network.removeHost('host-1')
  await cluster.clock.runFor(10_000)
  cluster.addHost('host-1')
  t.ok(await cluster.runUntil(() => hasState(cluster, ids, ['host-1'], 'live'), 5000) !== undefined)
})

t.test('an event reaches each host once, and one subject is not announced by every host', async t => {
  const { cluster } = await startCluster(7, 20)
  const seen: string[] = []
  for (const host of cluster.hosts.values()) host.membership.onEvent(event => { seen.push(`${host.id} ${event.subject}`) })
  for (let i = 0; i < 10; i++) cluster.hosts.get('host-0')?.membership.sendEvent('upstream_leaving', 'runner-1')
  t.ok(await cluster.runUntil(() => seen.length === 19, 3000) !== undefined, 'all others within 3 s')
  await cluster.clock.runFor(10_000)
  t.equal(new Set(seen).size, seen.length)
})

t.test('messages stay bounded however many hosts change at once', async t => {
  const { cluster } = await startCluster(8, 60)
  for (let i = 30; i < 60; i++) cluster.network.removeHost(`host-${i}`)
  cluster.network.takeTraffic()
  await cluster.clock.runFor(10_000)
  const traffic = [...cluster.network.takeTraffic()].slice(0, 30)
  t.ok(traffic.every(([, { bytes, messages }]) => bytes / messages < 1000), 'no host sees more than 1000 bytes a message on average')
})
