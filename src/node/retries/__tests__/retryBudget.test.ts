import fc from 'fast-check'
import t from 'tap'
import { RetryBudget } from '../retryBudget.js'

t.test('retries and hedges never exceed 5% of the work of first attempts', t => {
  const step = fc.record({ workMs: fc.double({ min: 0.1, max: 500, noNaN: true }), action: fc.constantFrom('send', 'retry', 'hedge') })
  fc.assert(fc.property(fc.array(step, { maxLength: 400 }), steps => {
    const budget = new RetryBudget()
    let sentMs = 0
    let extraMs = 0
    for (const [i, { workMs, action }] of steps.entries()) {
      if (action === 'send') {
        budget.addWork(workMs, i * 10)
        sentMs += workMs
      } else if (action === 'retry' ? budget.admitRetry(workMs) : budget.admitHedge(workMs)) extraMs += workMs
    }
    return extraMs <= sentMs * 0.05 + 1e-6
  }), { seed: 7, numRuns: 200 })
  t.end()
})

t.test('reserves part of the budget for retries', t => {
  const budget = new RetryBudget()
  for (let i = 0; i < 100; i++) budget.addWork(100, i)
  while (budget.admitHedge(10));
  t.ok(budget.admitRetry(10))
  t.end()
})
