import t from 'tap'
import { startLimitCluster } from '../../../../playground/fakes/startLimitCluster.js'
import { startOverload } from '../../../../playground/fakes/startOverload.js'
import { validateMaxShare } from '../../../../playground/fakes/validateMaxShare.js'
import { validateMinShare } from '../../../../playground/fakes/validateMinShare.js'

for (const seed of [2, 3]) {
  t.test(`an account over its contract gets 95% to 105% of it when its load is spread evenly over the hosts (seed ${seed})`, async t => {
    const { cluster, chooseRandomHost } = await startLimitCluster(seed)
    startOverload(cluster, chooseRandomHost)
    await cluster.clock.runFor(40_000)
    t.same(validateMaxShare(cluster), [], 'at most 105%')
    t.same(validateMinShare(cluster, 10_000, 47_000), [], 'at least 95%')
  })

  t.test(`an account over its contract gets 95% to 105% of it while its load moves between hosts (seed ${seed})`, async t => {
    const { cluster, ids, chooseRandomHost } = await startLimitCluster(seed)
    const chooseHost = (): string => cluster.random() < 0.9 ? ids[Math.floor(cluster.clock.readMonotonicMs() / 5000) % ids.length] as string : chooseRandomHost()
    startOverload(cluster, chooseHost)
    await cluster.clock.runFor(40_000)
    t.same(validateMaxShare(cluster), [], 'at most 105%')
    t.same(validateMinShare(cluster, 10_000, 47_000), [], 'at least 95%')
  })
}

t.test('a small account within its contract is served while another account requests ten times its own contract', async t => {
  const { cluster, chooseRandomHost } = await startLimitCluster(41)
  cluster.startLoad('large', 1000, chooseRandomHost)
  cluster.startLoad('small', 2, chooseRandomHost)
  await cluster.clock.runFor(40_000)
  const decisions = cluster.decisions.filter(decision => decision.account === 'small')
  const share = decisions.filter(decision => decision.granted).length / decisions.length
  t.ok(share >= 0.95, `granted ${share}`)
  t.same(validateMaxShare(cluster), [], 'at most 105%')
})

t.test('an account below its contract is not refused', async t => {
  const { cluster, chooseRandomHost } = await startLimitCluster(42)
  cluster.startLoad('large', 80, chooseRandomHost)
  await cluster.clock.runFor(40_000)
  const share = cluster.decisions.filter(decision => decision.granted).length / cluster.decisions.length
  t.ok(share >= 0.95, `granted ${share}`)
})

t.test('the first request of an idle account is granted after a short wait', async t => {
  const { cluster, ids } = await startLimitCluster(43)
  const granted: boolean[] = []
  for (const id of ids) {
    const limiter = cluster.limiters.get(id)
    const startMs = cluster.clock.readMonotonicMs()
    limiter?.waitForCredit('small', 50).then(() => { granted.push(limiter.take('small', startMs).granted) }, () => {})
    await cluster.clock.runFor(1000)
  }
  t.same(granted, ids.map(() => true))
})
