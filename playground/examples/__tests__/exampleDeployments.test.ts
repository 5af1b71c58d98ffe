import { createHash } from 'node:crypto'
import t from 'tap'
import { createStandIn } from '../../standIns/createStandIn.js'
import { exampleDeployments } from '../exampleDeployments.js'

for (const example of Object.values(exampleDeployments)) {
  t.test(`${example.name}: every token belongs to a contract`, t => {
    for (const { account, token } of example.accounts) {
      const contract = example.contracts.find(contract => contract.account === account)
      t.ok(contract?.tokenDigests.includes(createHash('sha256').update(token).digest('hex')), account)
    }
    t.end()
  })

  // A stage that refers to an unknown stage or an empty pool could never run.
  t.test(`${example.name}: stages refer to earlier stages and to pools with upstreams`, t => {
    const pools = new Set(example.upstreams.filter(upstreams => upstreams.count > 0).map(upstreams => upstreams.pool))
    const kinds = example.contracts.flatMap(contract => Object.values(contract.kinds))
    for (const kind of kinds) {
      const earlier = new Set<string>()
      for (const stage of kind.stages) {
        t.ok(pools.has(stage.pool) && stage.after.every(name => earlier.has(name)), stage.name)
        earlier.add(stage.name)
      }
      t.ok(kind.stages.length <= 6 && kind.objective.latencyMs <= kind.deadlineMs)
    }
    t.end()
  })

  t.test(`${example.name}: every account sends every kind of its contract`, t => {
    for (const contract of example.contracts) {
      const kinds = example.workload.filter(entry => entry.account === contract.account).map(entry => entry.kind)
      t.same(kinds.sort(), Object.keys(contract.kinds).sort())
    }
    t.end()
  })

  // If the longest permitted answer missed its deadline, the contract could not be met under any load.
  t.test(`${example.name}: the longest answer of every kind is generated within 85% of its deadline`, t => {
    const stepMs = Number(example.upstreams.find(upstreams => upstreams.type === 'model-engine')?.options.stepMs)
    const kinds = example.contracts.flatMap(contract => Object.values(contract.kinds))
    t.ok(kinds.every(kind => kind.stages.every(stage => (stage.maxTokens ?? 0) * stepMs < 0.85 * kind.deadlineMs)))
    t.ok(example.workload.every(entry => (entry.tokens?.[1] ?? 0) <= Math.max(...kinds.flatMap(kind => kind.stages.map(stage => stage.maxTokens ?? 0)))))
    t.end()
  })

  // If the contracts allowed more tokens than the engines can generate, every full load would miss its objectives.
  t.test(`${example.name}: the contracts do not exceed the capacity of the engines`, t => {
    const engines = example.upstreams.find(upstreams => upstreams.type === 'model-engine')
    const capacity = Number(engines?.count) * Number(engines?.options.slots) * 1000 / Number(engines?.options.stepMs)
    t.ok(example.contracts.reduce((sum, contract) => sum + contract.tokensPerSecond, 0) <= capacity)
    t.end()
  })

  t.test(`${example.name}: the stand-ins accept the options of the upstreams`, async t => {
    for (const { type, options } of example.upstreams) {
      const standIn = createStandIn({ type, ...options } as Parameters<typeof createStandIn>[0])
      await standIn.start(0)
      await standIn.stop()
    }
    t.pass()
  })
}
