import t from 'tap'
import { startLimitCluster } from '../../../../playground/fakes/startLimitCluster.js'
import { startOverload } from '../../../../playground/fakes/startOverload.js'
import { validateMaxShare } from '../../../../playground/fakes/validateMaxShare.js'
import { validateMinShare } from '../../../../playground/fakes/validateMinShare.js'

for (const seed of [31, 52]) {
  t.test(`both sides of a partition together never exceed the contract before, during or after it (seed ${seed})`, async t => {
    const { cluster, ids, chooseRandomHost } = await startLimitCluster(seed)
    startOverload(cluster, chooseRandomHost)
    await cluster.clock.runFor(12_000)
    const firstSide = new Set(ids.slice(0, 2))
    cluster.network.isCut = (from, to) => firstSide.has(from) !== firstSide.has(to)
    await cluster.clock.runFor(25_000)
    cluster.network.isCut = () => false
    await cluster.clock.runFor(25_000)
    t.same(validateMaxShare(cluster), [], 'at most 105%')
    const endMs = cluster.clock.readMonotonicMs()
    t.same(validateMinShare(cluster, endMs - 12_000, endMs), [], 'at least 95%')
  })

  t.test(`a frozen host does not use an expired lease when it resumes (seed ${seed})`, async t => {
    const { cluster, ids, chooseRandomHost } = await startLimitCluster(seed)
    startOverload(cluster, chooseRandomHost)
    for (const id of ids.slice(0, 3)) {
      await cluster.clock.runFor(5000)
      cluster.network.setFrozen(id, true)
      await cluster.clock.runFor(seed === 31 ? 1500 : 7000)
      cluster.network.setFrozen(id, false)
    }
    await cluster.clock.runFor(12_000)
    t.same(validateMaxShare(cluster), [], 'at most 105%')
  })
}
