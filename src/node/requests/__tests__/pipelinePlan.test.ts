import fc from 'fast-check'
import t from 'tap'
import type { StageSpec } from '../../../types/stageSpec.js'
import { buildPipelinePlan } from '../buildPipelinePlan.js'
import { computeStageBudget } from '../computeStageBudget.js'

const create = (name: string, after: readonly string[], operation: StageSpec['operation'] = 'encode'): StageSpec => ({ name, operation, pool: 'p', after })

t.test('stages are ordered after their dependencies, and the last generation is streamed', async t => {
  const plan = buildPipelinePlan([create('answer', ['rerank', 'tags'], 'generate'), create('rerank', ['a', 'b']), create('tags', ['a'], 'generate'), create('b', []), create('a', []), create('log', ['a'], 'call')])
  const order = plan.stages.map(stage => stage.name)
  for (const stage of plan.stages) for (const name of stage.after) t.ok(order.indexOf(name) < order.indexOf(stage.name), `${name} before ${stage.name}`)
  t.equal(plan.streamed?.name, 'answer')
  t.same(plan.results.map(stage => stage.name), ['log'])
  t.same(plan.remainingPaths.get('a')?.length, 3)
})

t.test('a cycle or a missing dependency is a typed error instead of a request that never ends', async t => {
  t.throws(() => buildPipelinePlan([create('a', ['b']), create('b', ['a'])]), { code: 'invalid_pipeline', ran: 'not_run' })
  t.throws(() => buildPipelinePlan([create('a', ['missing'])]), { code: 'invalid_pipeline' })
})

t.test('a budget stays within the remaining time and gives slower stages a larger share', async t => {
  fc.assert(fc.property(fc.double({ min: 100, max: 20_000, noNaN: true }), fc.array(fc.option(fc.double({ min: 0.1, max: 5000, noNaN: true }), { nil: undefined }), { minLength: 1, maxLength: 6 }), (remainingMs, quantiles) => {
    const budget = computeStageBudget(remainingMs, quantiles, 10)
    return budget > 0 && budget <= remainingMs
  }), { seed: 11 })
  t.ok(computeStageBudget(10_000, [900, 100], 10) > computeStageBudget(10_000, [100, 900], 10))
})
