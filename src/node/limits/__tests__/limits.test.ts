import t from 'tap'
import { LimitCluster } from '../../../../playground/fakes/limitCluster.js'

const rates = { large: 100, small: 5 }
const accounts = ['large', 'small'] as const

async function startCluster (seed: number): Promise<{ cluster: LimitCluster, ids: string[], chooseAny: () => string }> {
  const cluster = new LimitCluster(seed, rates)
  cluster.addHosts(5)
  await cluster.clock.runFor(8000)
  const ids = [...cluster.hosts.keys()]
  return { cluster, ids, chooseAny: () => ids[Math.floor(cluster.random() * ids.length)] as string }
}

function startOverload (cluster: LimitCluster, chooseHost: () => string, factor = 1.6): void {
  // Requests of the small account come at random times; at three times its rate an ideal limiter misses no window.
  cluster.startLoad('large', rates.large * factor, chooseHost)
  cluster.startLoad('small', rates.small * 2 * factor, chooseHost)
}

for (const seed of [1, 2, 3]) {
  t.test(`an account that asks for more gets its contract, spread evenly over the hosts (seed ${seed})`, async t => {
    const { cluster, chooseAny } = await startCluster(seed)
    startOverload(cluster, chooseAny)
    await cluster.clock.runFor(40_000)
    for (const account of accounts) {
      t.ok(cluster.computeMaxShare(account) <= 1.05, `${account} at most 105% (${cluster.computeMaxShare(account)})`)
      const least = cluster.computeMinShare(account, rates[account], 10_000, 47_000)
      t.ok(least >= 0.95, `${account} at least 95% (${least})`)
    }
  })

  t.test(`uneven arrival that moves between hosts does not cut the account (seed ${seed})`, async t => {
    const { cluster, ids, chooseAny } = await startCluster(seed)
    const chooseHost = (): string => cluster.random() < 0.9 ? ids[Math.floor(cluster.clock.readMonotonicMs() / 5000) % ids.length] as string : chooseAny()
    startOverload(cluster, chooseHost)
    await cluster.clock.runFor(40_000)
    for (const account of accounts) {
      t.ok(cluster.computeMaxShare(account) <= 1.05, `${account} at most 105% (${cluster.computeMaxShare(account)})`)
      const least = cluster.computeMinShare(account, rates[account], 10_000, 47_000)
      t.ok(least >= 0.95, `${account} at least 95% (${least})`)
    }
  })
}
