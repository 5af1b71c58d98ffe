import t from 'tap'
import { createTestScheduler } from './createTestScheduler.js'

t.test('guards against late work that is accepted while none of it starts', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], batchSize: 1 }])
  const late = { targetAtMs: 100, deadlineAtMs: 60_000 }
  for (let i = 0; i < 20; i++) scheduler.addJob(buildJob(`p${i}`, [{}], { targetAtMs: 60_000, deadlineAtMs: 60_000 }), 0)
  t.match(scheduler.addJob(buildJob('late', [{}], late), 0), { isAccepted: true, isLate: true })
  for (let nowMs = 0; nowMs < 3000; nowMs += 250) {
    for (const call of scheduler.planCalls(nowMs)) answerCall(call, nowMs + 250)
  }
  const refused = scheduler.addJob(buildJob('later', [{}], late), 3000)
  t.match(refused, { isAccepted: false, reason: 'stage queues are too long' })
  t.ok(!refused.isAccepted && refused.retryAfterMs >= 3000, 'the wait of the oldest late job')
  for (let nowMs = 3000; nowMs < 9000; nowMs += 250) {
    for (const call of scheduler.planCalls(nowMs)) answerCall(call, nowMs + 250)
  }
  t.match(scheduler.addJob(buildJob('last', [{}], { targetAtMs: 9000, deadlineAtMs: 60_000 }), 9000), { isAccepted: true, isLate: true }, 'the queue is empty again')
})

t.test('guards against a job that is never begun because its own pieces still count as on-time work', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x', 'y'], batchSize: 1 }])
  scheduler.addJob(buildJob('p', [{ pieceCount: 5 }], { targetAtMs: 2000, deadlineAtMs: 60_000 }), 0)
  scheduler.listLoads(0)
  t.equal(scheduler.planCalls(2100).length, 2, 'a call to each upstream, 100 ms after the target')
})

t.test('guards against late work that is never begun because pieces of a job that has ended still count', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x', 'y'], batchSize: 1 }])
  scheduler.addJob(buildJob('ended', [{ pieceCount: 5 }], { targetAtMs: 50_000, deadlineAtMs: 3000 }), 0)
  scheduler.addJob(buildJob('late', [{}], { targetAtMs: 100, deadlineAtMs: 60_000 }), 0)
  for (const call of scheduler.planCalls(0)) answerCall(call, 2900)
  t.same(scheduler.planCalls(3100), [])
  t.match(scheduler.takeEndedJobs(), [{ jobId: 'ended' }])
  t.same(scheduler.planCalls(3200).flatMap(({ pieces }) => pieces.map(({ requestId }) => requestId)), ['late'])
})
