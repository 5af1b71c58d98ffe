import t from 'tap'
import { createTestScheduler } from './createTestScheduler.js'
import type { StageCall } from '../stageCall.js'

const listPieces = (calls: readonly StageCall[]) => calls.map(call => `${call.upstreamId}: ${call.pieces.map(piece => `${piece.requestId}.${piece.stageIndex}.${piece.pieceIndex}`).join(' ')}`)

t.test('puts pieces of several requests into one call, because the fixed time of a call is its main cost', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x', 'x'] }])
  for (const id of ['p', 'q', 'r']) t.ok(scheduler.addJob(buildJob(id, [{ pieceCount: 3 }]), 0).isAccepted)
  t.same(listPieces(scheduler.planCalls(0)), ['a-0: p.0.0 p.0.1 p.0.2 q.0.0 q.0.1 q.0.2 r.0.0 r.0.1 r.0.2'])
})

t.test('passes results from stage to stage and returns the handles of the last stage', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['y'] }])
  scheduler.addJob(buildJob('p', [{ pieceCount: 2 }, { service: 'b', after: [0], pieceCount: 2 }]), 0)
  const [first] = scheduler.planCalls(0)
  t.same(first!.pieces.map(piece => piece.pieceKey), ['key-p', 'key-p'])
  answerCall(first!, 260)
  const [second] = scheduler.planCalls(260)
  t.same(second!.pieces[1], { requestId: 'p', stageIndex: 1, pieceIndex: 1, timeLeftMs: 9740, inputs: ['a-0/p.0.0', 'a-0/p.0.1'] })
  t.same(scheduler.takeReleases(), [], 'inputs are kept until they are used')
  answerCall(second!, 520)
  t.same(scheduler.takeEndedJobs(), [{ jobId: 'p', outcome: { type: 'completed', outputs: [{ index: 1, handles: ['b-0/p.1.0', 'b-0/p.1.1'] }], outputDomain: 'y' } }])
  t.same(scheduler.takeReleases().map(release => release.handles), [['a-0/p.0.0', 'a-0/p.0.1']])
  scheduler.releaseJob('p')
  t.same(scheduler.takeReleases().map(release => release.handles), [['b-0/p.1.0', 'b-0/p.1.1']])
})

t.test('runs a stage off the critical path alongside the last stage of that path, because its results occupy memory', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x', 'x'] }, { name: 'b', domains: ['x'] }, { name: 'c', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{ resultBytes: 800_000 }, {}, { service: 'b', after: [1] }, { service: 'c', after: [2] }]), 0)
  const [first] = scheduler.planCalls(0)
  t.same(listPieces([first!]), ['a-0: p.1.0'])
  answerCall(first!, 250)
  const [second] = scheduler.planCalls(250)
  t.same(listPieces([second!]), ['b-0: p.2.0'])
  t.same(scheduler.planCalls(251), [])
  answerCall(second!, 500)
  t.same(listPieces(scheduler.planCalls(500)), ['a-0: p.0.0', 'c-0: p.3.0'])
})

t.test('sends on-time work before late work, and more urgent work before less urgent work', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], batchSize: 2 }])
  scheduler.addJob(buildJob('blocker', [{ pieceCount: 2 }]), 0)
  const [blocker] = scheduler.planCalls(0)
  scheduler.addJob(buildJob('late', [{}], { targetAtMs: -100 }), 0)
  scheduler.addJob(buildJob('usual', [{}], { priority: 2 }), 0)
  scheduler.addJob(buildJob('urgent', [{}], { priority: 0 }), 0)
  answerCall(blocker!, 260)
  t.same(listPieces(scheduler.planCalls(260)), ['a-0: urgent.0.0 usual.0.0'])
})

t.test('refuses jobs that cannot be on time when late work fills the spare capacity', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'] }])
  const admissions = Array.from({ length: 40 }, (_, i) => scheduler.addJob(buildJob(`p${i}`, [{ pieceCount: 10 }]), 0))
  const onTime = admissions.filter(admission => admission.isAccepted && !admission.isLate).length
  const refused = admissions.find(admission => !admission.isAccepted)
  // A call takes 340 ms, and 2000 ms are left before the target.
  t.ok(onTime >= 4 && onTime <= 6, `${onTime} accepted as on time`)
  t.match(refused, { isAccepted: false, reason: 'stage queues are too long' })
  t.ok(!refused!.isAccepted && refused!.retryAfterMs >= 300)
})

t.test('refuses a job at once when a service has no upstreams', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: [] }])
  t.match(scheduler.addJob(buildJob('p', [{}]), 0), { isAccepted: false, reason: 'no upstream of a' })
})

t.test('sends the pieces of a failed call to another upstream while the first one is paused', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x', 'x'] }])
  scheduler.addJob(buildJob('p', [{}]), 0)
  const [call] = scheduler.planCalls(0)
  scheduler.onCallFailed(call!, 10, false)
  t.same(listPieces(scheduler.planCalls(10)), ['a-1: p.0.0'])
})

t.test('keeps to the fastest upstream while it is idle, and uses the others for work that needs more than one call', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x', 'y'] }])
  const used = new Set<string>()
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    scheduler.addJob(buildJob(`p${nowMs}`, [{}], { targetAtMs: nowMs + 2000, deadlineAtMs: nowMs + 9000 }), nowMs)
    for (const call of scheduler.planCalls(nowMs)) {
      used.add(call.upstreamId)
      answerCall(call, nowMs + 5)
    }
  }
  t.same([...used], ['a-0'])
  for (const id of ['q', 'r']) scheduler.addJob(buildJob(id, [{ pieceCount: 10 }], { targetAtMs: 12_000, deadlineAtMs: 19_000 }), 10_000)
  t.same(scheduler.planCalls(10_000).map(({ upstreamId }) => upstreamId), ['a-0', 'a-1'])
})

t.test('guards against an upstream that gets no calls after the condition that held it back is over', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x', 'y'] }])
  const planTwoCalls = (nowMs: number): readonly StageCall[] => {
    for (const id of ['p', 'q']) scheduler.addJob(buildJob(`${id}${nowMs}`, [{ pieceCount: 10 }], { targetAtMs: nowMs + 2000, deadlineAtMs: nowMs + 9000 }), nowMs)
    return scheduler.planCalls(nowMs)
  }
  scheduler.applyHolds(id => id === 'a-1' ? { backoffUntilMs: 0, waitMs: Infinity } : undefined, 0)
  const [held, ...others] = planTwoCalls(0)
  t.equal(held!.upstreamId, 'a-0')
  t.same(others, [])
  answerCall(held!, 340)
  for (const call of scheduler.planCalls(340)) answerCall(call, 680)
  scheduler.applyHolds(() => undefined, 700)
  t.same(planTwoCalls(700).map(({ upstreamId }) => upstreamId).sort(), ['a-0', 'a-1'])
})

t.test('fails a job whose upstreams keep failing instead of retrying forever', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{}], { deadlineAtMs: 1e9, targetAtMs: 1e9 }), 0)
  let nowMs = 0
  for (let i = 0; i < 20; i++) {
    for (const call of scheduler.planCalls(nowMs)) scheduler.onCallFailed(call, nowMs, false)
    nowMs += 4000
  }
  t.match(scheduler.takeEndedJobs(), [{ jobId: 'p', outcome: { type: 'failed' } }])
})

t.test('starts a job over when an input is lost', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{}, { service: 'b', after: [0] }]), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  answerCall(scheduler.planCalls(250)[0]!, 300, [{ failure: 'input-gone' }])
  t.same(listPieces(scheduler.planCalls(300)), ['a-0: p.0.0'])
})

t.test('sends pieces to an upstream only while it has memory for their results', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], resultRoomBytes: 2_500_000 }])
  for (const id of ['p', 'q', 'r']) scheduler.addJob(buildJob(id, [{ resultBytes: 1_000_000 }]), 0)
  const [first] = scheduler.planCalls(0)
  t.equal(first!.pieces.length, 2)
  answerCall(first!, 260)
  t.same(scheduler.planCalls(260), [], 'two unreleased results fill the memory')
  scheduler.releaseJob('p')
  const [release] = scheduler.takeReleases()
  t.same(scheduler.planCalls(300), [], 'the release is not confirmed yet')
  scheduler.onReleased(release!)
  t.same(listPieces(scheduler.planCalls(310)), ['a-0: r.0.0'])
})

t.test('prefers an upstream in the failure domain of large inputs', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['y', 'x'] }])
  scheduler.addJob(buildJob('p', [{ resultBytes: 400_000 }, { service: 'b', after: [0] }]), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  t.same(listPieces(scheduler.planCalls(250)), ['b-1: p.1.0'])
})

t.test('a cancelled job leaves no waiting pieces and releases its results', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{}]), 0)
  const [call] = scheduler.planCalls(0)
  scheduler.cancelJob('p')
  answerCall(call!, 250)
  t.same(scheduler.takeEndedJobs(), [])
  t.same(scheduler.takeReleases().map(release => release.handles), [['a-0/p.0.0']])
})

t.test('fails a queued job when its deadline passes', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], batchSize: 1 }])
  scheduler.addJob(buildJob('p', [{}]), 0)
  scheduler.addJob(buildJob('q', [{}], { deadlineAtMs: 1400 }), 0)
  answerCall(scheduler.planCalls(0)[0]!, 1450)
  t.same(scheduler.planCalls(1450), [])
  t.match(scheduler.takeEndedJobs().find(ended => ended.jobId === 'q'), { outcome: { type: 'failed' } })
})

t.test('releases fetched inputs before the call ends when memory is scarce, and starts the job over when that call fails', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], resultRoomBytes: 2000 }, { name: 'b', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{ resultBytes: 1000 }, { service: 'b', after: [0] }]), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  const [call] = scheduler.planCalls(250)
  t.same(scheduler.takeReleases(), [], 'the inputs are being fetched')
  scheduler.planCalls(340)
  t.same(scheduler.takeReleases().map(release => release.handles), [['a-0/p.0.0']])
  scheduler.onCallFailed(call!, 400, false)
  t.same(listPieces(scheduler.planCalls(400)), ['a-0: p.0.0'])
})

t.test('sends on-time work before work that was accepted earlier as late', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], batchSize: 1 }])
  scheduler.addJob(buildJob('first', [{}]), 0)
  const [first] = scheduler.planCalls(0)
  t.match(scheduler.addJob(buildJob('late', [{}], { targetAtMs: 300 }), 10), { isAccepted: true, isLate: true })
  t.match(scheduler.addJob(buildJob('fresh', [{}]), 20), { isAccepted: true, isLate: false })
  answerCall(first!, 260)
  t.same(listPieces(scheduler.planCalls(260)), ['a-0: fresh.0.0'])
})

t.test('moves large inputs to an idle upstream in another failure domain when their own domain stays busy', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['x', 'y'], batchSize: 1 }])
  for (const id of ['p', 'q']) scheduler.addJob(buildJob(id, [{ resultBytes: 400_000 }, { service: 'b', after: [0] }]), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  t.same(listPieces(scheduler.planCalls(250)), ['b-0: p.1.0'], 'the second task waits for an upstream in its domain')
  t.same(scheduler.planCalls(500), [])
  t.same(listPieces(scheduler.planCalls(600)), ['b-1: q.1.0'])
})

t.test('releases the results of a completed job after a time limit when the requesting host has failed', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x'], resultRoomBytes: 1000 }])
  scheduler.addJob(buildJob('p', [{ resultBytes: 1000 }], { deadlineAtMs: 60_000 }), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  scheduler.planCalls(6000)
  t.same(scheduler.takeReleases(), [])
  scheduler.planCalls(6300)
  t.same(scheduler.takeReleases().map(release => release.handles), [['a-0/p.0.0']])
})

t.test('late work waits before its first stage while a later service is full, because its results would occupy memory', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x', 'x'] }, { name: 'b', domains: ['x'], batchSize: 2 }])
  const stages = [{}, { service: 'b', after: [0], pieceCount: 2 }]
  for (const id of ['p', 'q']) scheduler.addJob(buildJob(id, stages, { targetAtMs: 60_000, deadlineAtMs: 60_000 }), 0)
  const [first] = scheduler.planCalls(0)
  t.match(scheduler.addJob(buildJob('late', stages, { targetAtMs: 100 }), 10), { isAccepted: true, isLate: true })
  t.same(scheduler.planCalls(10), [], 'an upstream of the first stage is idle')
  answerCall(first!, 250)
  t.same(listPieces(scheduler.planCalls(250)), ['b-0: p.1.0 p.1.1'])
  t.same(scheduler.planCalls(260), [], 'a full call of the second stage still waits')
})

t.test('fills a call with work from another failure domain when no upstream is idle in that domain', async t => {
  const { scheduler, buildJob, answerCall } = createTestScheduler([{ name: 'a', domains: ['x', 'y'] }, { name: 'b', domains: ['x', 'y'] }])
  const startJob = (id: string, nowMs: number): StageCall => {
    scheduler.addJob(buildJob(id, [{ resultBytes: 400_000 }, { service: 'b', after: [0] }]), nowMs)
    return scheduler.planCalls(nowMs)[0]!
  }
  const [first, second] = [startJob('p', 0), startJob('q', 0)]
  answerCall(first, 250)
  const [busy] = scheduler.planCalls(250)
  answerCall(second, 260)
  t.same(listPieces(scheduler.planCalls(260)), ['b-1: q.1.0'], 'both upstreams of the second stage are busy')
  const [third, fourth] = [startJob('r', 260), startJob('s', 260)]
  answerCall(third, 510)
  answerCall(fourth, 510)
  t.same(scheduler.planCalls(510), [])
  answerCall(busy!, 520)
  t.same(listPieces(scheduler.planCalls(520)), ['b-0: r.1.0 s.1.0'])
})

t.test('a stage upstream that named a limit gets no more calls than it allows', t => {
  const { scheduler, answerCall, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'], batchSize: 1 }])
  const sentAtMs: number[] = []
  const times = { targetAtMs: 100_000, deadlineAtMs: 100_000 }
  for (let i = 0; i < 40; i++) scheduler.addJob(buildJob(`p${i}`, [{}], times), 0)
  for (let nowMs = 0; nowMs < 12_000; nowMs += 250) {
    for (const call of scheduler.planCalls(nowMs)) {
      sentAtMs.push(nowMs)
      scheduler.applyDemands(call, { requestsPerSecond: 1, backoffUntilMs: 0 })
      answerCall(call, nowMs + 250)
    }
  }
  t.equal(sentAtMs.length, 12)
  t.ok(scheduler.findNextPlanAtMs(11_750)! <= 12_000, 'the next call is planned when the limit allows it at the latest')
  t.end()
})
