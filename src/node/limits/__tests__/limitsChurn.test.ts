import t from 'tap'
import { startLimitCluster } from '../../../../playground/fakes/startLimitCluster.js'
import { startOverload } from '../../../../playground/fakes/startOverload.js'
import { validateMaxShare } from '../../../../playground/fakes/validateMaxShare.js'
import { validateMinShare } from '../../../../playground/fakes/validateMinShare.js'

for (const seed of [33, 56]) {
  t.test(`an account over its contract gets 95% to 105% of it while hosts join and leave (seed ${seed})`, async t => {
    const { cluster, ids } = await startLimitCluster(seed)
    let chosen = [...ids]
    startOverload(cluster, () => chosen[Math.floor(cluster.random() * chosen.length)] as string)
    await cluster.clock.runFor(5000)
    for (const step of [0, 1, 2]) {
      cluster.addHost(`joined-${step}`)
      await cluster.clock.runFor(3000)
      chosen = [...chosen, `joined-${step}`]
      await cluster.clock.runFor(5000)
      const leaving = ids[step] as string
      cluster.hosts.get(leaving)?.membership.startLeaving()
      cluster.hostListEntries = cluster.hostListEntries.filter(entry => entry.id !== leaving)
      chosen = chosen.filter(id => id !== leaving)
      await cluster.clock.runFor(6000)
      cluster.hosts.get(leaving)?.membership.stop().catch(() => {})
      cluster.limiters.get(leaving)?.stop()
      await cluster.clock.runFor(1000)
      cluster.network.removeHost(leaving)
      await cluster.clock.runFor(3000)
    }
    t.same(validateMaxShare(cluster), [], 'at most 105%')
    t.same(validateMinShare(cluster, 10_000, cluster.clock.readMonotonicMs() - 1000), [], 'at least 95%')
  })

  t.test(`a crashed limit owner never lets an account exceed its contract, which is granted in full again once the host list drops the owner (seed ${seed})`, async t => {
    const { cluster, ids } = await startLimitCluster(seed)
    let chosen = [...ids]
    startOverload(cluster, () => chosen[Math.floor(cluster.random() * chosen.length)] as string)
    await cluster.clock.runFor(12_000)
    const crashed = [0, 1].map(step => ids[step] as string)
    for (const id of crashed) {
      cluster.network.removeHost(id)
      chosen = chosen.filter(other => other !== id)
      await cluster.clock.runFor(10_000)
      cluster.hostListEntries = cluster.hostListEntries.filter(entry => entry.id !== id)
      await cluster.clock.runFor(8000)
      const fromMs = cluster.clock.readMonotonicMs()
      await cluster.clock.runFor(11_000)
      t.same(validateMinShare(cluster, fromMs, cluster.clock.readMonotonicMs()), [], 'at least 95%')
    }
    t.same(validateMaxShare(cluster), [], 'at most 105%')
  })
}
