import t from 'tap'
import { RetryBudget } from '../retryBudget.js'
import type { HostTimings } from '../../model/hostTimings.js'

const timings: HostTimings = { drainMs: 2000, gracePeriodMs: 8000, configurationMs: 2000, maxAddressLifetimeMs: 5000, retryRatio: 0.2, retryWindowMs: 10_000, extraRetries: 56, heartbeatMs: 1200 }

t.test('second sendings of all hosts together stay within the budget of the fleet while every upstream fails', async t => {
  for (const hostCount of [1, 4, 30]) {
    const hosts = Array.from({ length: hostCount }, () => new RetryBudget(() => timings, () => hostCount))
    const repeats: number[] = []
    let firsts = 0
    for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
      for (const host of hosts) {
        host.recordRequest('s', nowMs)
        firsts++
        for (let i = 0; i < 3; i++) if (host.takeRetry('s', nowMs)) repeats.push(nowMs)
      }
    }
    t.ok(repeats.length <= timings.retryRatio * firsts + timings.extraRetries, `${hostCount} hosts: ${repeats.length} repeats of ${firsts}`)
    t.ok(repeats.length > 0, 'some requests are sent again')
  }
})

t.test('the budget comes back with time', async t => {
  const host = new RetryBudget(() => timings, () => 1)
  while (host.takeRetry('s', 0));
  t.equal(host.takeRetry('s', 9999), false)
  t.equal(host.takeRetry('s', 10_001), true)
})
