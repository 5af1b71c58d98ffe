import t from 'tap'
import { computeTargetLeftMs } from '../computeTargetLeftMs.js'
import { createTestScheduler } from '../../stages/__tests__/createTestScheduler.js'

const route = { timeoutMs: 20_000, latencyAimMs: 2700 }

t.test('guards against resumed streams that are refused at a load at which new ones begin', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'] }])
  const admit = (id: string, timeLeftMs: number, resumedId?: string): boolean => {
    const targetAtMs = computeTargetLeftMs(route, { timeLeftMs, resumedId })
    return scheduler.addJob(buildJob(id, [{ pieceCount: 10 }], { targetAtMs, deadlineAtMs: timeLeftMs }), 0).isAccepted
  }
  let newCount = 0
  while (admit(`late-${newCount}`, 12_000)) newCount++
  t.ok(admit('new', 19_000))
  t.ok(admit('resumed', 12_000, 'first'))
  t.notOk(admit('repeated', 12_000), 'a request without events stays late')
})

t.test('the time to the target by the time that the client has left', async t => {
  t.matchSnapshot([19_000, 12_000, 2000].map(timeLeftMs => ({
    timeLeftMs,
    first: computeTargetLeftMs(route, { timeLeftMs }),
    resumed: computeTargetLeftMs(route, { timeLeftMs, resumedId: 'first' })
  })))
})
