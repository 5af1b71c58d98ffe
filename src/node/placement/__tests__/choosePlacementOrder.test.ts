import t from 'tap'
import { choosePlacementOrder } from '../choosePlacementOrder.js'
import type { RunnerPlacement } from '../runnerPlacement.js'

function createRunners (models: readonly string[], maxModels = 1): RunnerPlacement[] {
  return models.map((model, i) => ({ upstreamId: `runner-${i}`, failureDomain: `domain-${i % 2}`, models: model === '' ? [] : [model], maxModels }))
}

function applyOrders (start: readonly RunnerPlacement[], demand: ReadonlyMap<string, number>): { readonly runners: readonly RunnerPlacement[], readonly orders: number } {
  let runners = start
  for (let orders = 0; orders < 100; orders++) {
    const order = choosePlacementOrder(runners, demand)
    if (order === undefined) return { runners, orders }
    runners = runners.map(runner => runner.upstreamId !== order.upstreamId
      ? runner
      : { ...runner, models: order.order === 'load' ? [...runner.models, order.model] : runner.models.filter(model => model !== order.model) })
  }
  return { runners, orders: 100 }
}

t.test('converges to the demand and then sends no more orders', t => {
  const { runners, orders } = applyOrders(createRunners(['a', 'a', 'a', 'a', 'a', 'a', 'b', 'b']), new Map([['a', 1000], ['b', 3000]]))
  t.equal(runners.filter(runner => runner.models[0] === 'b').length, 6)
  t.equal(orders, 8, 'one unload and one load for each runner that moves')
  t.end()
})

t.test('keeps the last runner of a model with demand', t => {
  const { runners } = applyOrders(createRunners(['a', 'b']), new Map([['a', 10_000], ['b', 1]]))
  t.same(runners.map(runner => runner.models[0]), ['a', 'b'])
  t.end()
})

t.test('loads a model without a runner first, in the failure domain with the fewest runners of the model', t => {
  t.same(choosePlacementOrder(createRunners(['a', 'a', '', '']), new Map([['a', 5000], ['b', 10]])), { upstreamId: 'runner-2', order: 'load', model: 'b' })
  t.same(choosePlacementOrder(createRunners(['a', '', '', 'b']), new Map([['a', 5000], ['b', 10]])), { upstreamId: 'runner-1', order: 'load', model: 'a' })
  t.end()
})

t.test('does not move models for small differences of load', t => {
  t.equal(choosePlacementOrder(createRunners(['a', 'a', 'b', 'b']), new Map([['a', 1000], ['b', 1400]])), undefined)
  t.end()
})
