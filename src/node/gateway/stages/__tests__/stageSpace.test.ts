import t from 'tap'
import { createTestScheduler } from './createTestScheduler.js'

t.test('guards against results of a first stage that occupy memory until the last stage ends', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['x'] }, { name: 'c', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{}, { service: 'b', after: [0] }, { service: 'c', after: [1] }]), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  answerCall(scheduler.planCalls(250)[0]!, 500)
  t.same(scheduler.takeReleases().map(release => release.handles), [['a-0/p.0.0']])
  answerCall(scheduler.planCalls(500)[0]!, 750)
  t.same(scheduler.takeReleases().map(release => release.handles), [['b-0/p.1.0']], 'released once')
})

t.test('guards against the release of results that another stage still needs', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{}, { service: 'b', after: [0] }, { service: 'b', after: [0, 1] }]), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  answerCall(scheduler.planCalls(250)[0]!, 500)
  t.same(scheduler.takeReleases(), [])
})

t.test('guards against calls that fill the memory to the last byte although results differ in size', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], resultRoomBytes: 100_000, batchSize: 100 }])
  const times = { targetAtMs: 1e6, deadlineAtMs: 1e6 }
  const runCall = (id: string, nowMs: number, isFull: boolean): number => {
    scheduler.addJob(buildJob(id, [{ pieceCount: 100 }], times), nowMs)
    const [call] = scheduler.planCalls(nowMs)
    answerCall(call!, nowMs + 1240, isFull ? call!.pieces.map(() => ({ failure: 'no-room' })) : undefined)
    scheduler.cancelJob(id)
    for (const release of scheduler.takeReleases()) scheduler.onReleased(release)
    return call!.pieces.length
  }
  const counts = Array.from({ length: 30 }, (_, i) => runCall(`p${i}`, i * 2000, true))
  t.equal(counts[0], 100)
  t.ok(counts[5]! < 97, `${counts[5]} pieces after five calls that lacked memory`)
  t.equal(counts.at(-1), 80, 'a fault of an upstream does not close the service')
  const later = Array.from({ length: 60 }, (_, i) => runCall(`q${i}`, 60_000 + i * 2000, false))
  t.ok(later.at(-1)! > 80, 'the share rises again')
})

t.test('guards against calls into memory that results of a call without an answer occupy', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'], resultRoomBytes: 2000 }])
  const times = { targetAtMs: 1e6, deadlineAtMs: 1e6 }
  scheduler.addJob(buildJob('p', [{ pieceCount: 2 }], times), 0)
  scheduler.onCallFailed(scheduler.planCalls(0)[0]!, 1000, true)
  t.same(scheduler.planCalls(1300), [], 'the pause after the failure is over')
  t.equal(scheduler.planCalls(5000)[0]?.pieces.length, 2, 'the results have expired')
})

t.test('guards against memory that stays reserved for a call that was not run', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'], resultRoomBytes: 2000 }])
  scheduler.addJob(buildJob('p', [{ pieceCount: 2 }]), 0)
  scheduler.onCallFailed(scheduler.planCalls(0)[0]!, 10, false)
  t.equal(scheduler.planCalls(300)[0]?.pieces.length, 2)
})

t.test('guards against first stages whose results expire because a later service cannot take them in time', async t => {
  const { scheduler, buildJob, answerCall, applyDomains } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['x'], batchSize: 1 }])
  const times = { targetAtMs: 60_000, deadlineAtMs: 60_000 }
  const stages = [{}, { service: 'b', after: [0], pieceCount: 10 }]
  scheduler.addJob(buildJob('p', stages, times), 0)
  const [first] = scheduler.planCalls(0)
  scheduler.addJob(buildJob('q', stages, times), 10)
  scheduler.addJob(buildJob('single', [{}], times), 10)
  answerCall(first!, 250)
  const calls = scheduler.planCalls(250)
  const listRequests = (calls: ReadonlyArray<{ readonly pieces: ReadonlyArray<{ readonly requestId: string }> }>) => calls.map(call => call.pieces.map(piece => piece.requestId).join(' '))
  t.same(listRequests(calls), ['single', 'p'], 'ten calls of the second stage take 2.5 s, and results are lost after 4 s')
  answerCall(calls[0]!, 500)
  t.same(listRequests(scheduler.planCalls(500)), [], 'an upstream of the first stage is idle')
  applyDomains(name => name === 'a' ? ['x'] : ['x', 'x', 'x', 'x'])
  t.same(listRequests(scheduler.planCalls(600)), ['q', 'p', 'p', 'p'], 'four upstreams take 0.6 s for the others')
})
