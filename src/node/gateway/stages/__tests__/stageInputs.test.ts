import fc from 'fast-check'
import t from 'tap'
import { createTestScheduler } from './createTestScheduler.js'
import { runRandomStages } from './runRandomStages.js'
import { stageSteps } from './stageSteps.js'

t.test('guards against calls without inputs after a freeze in which results of two stages expire', async t => {
  const services = [{ name: 'a', domains: ['x'] }, { name: 'b', domains: ['x'], batchSize: 1 }]
  const { scheduler, buildJob, answerCall } = createTestScheduler(services)
  const times = { targetAtMs: 60_000, deadlineAtMs: 60_000 }
  scheduler.addJob(buildJob('p', [{ pieceCount: 2 }, { service: 'b', after: [0], pieceCount: 2 }], times), 0)
  answerCall(scheduler.planCalls(0)[0]!, 250)
  // The first of two pieces of the second stage is done, and the second one waits, when both results are too old.
  const [call] = scheduler.planCalls(250)
  answerCall(call!, 500)
  const pieces = scheduler.planCalls(5500).flatMap(call => call.pieces)
  t.same(pieces.map(({ stageIndex }) => stageIndex), [0, 0], 'the first stage runs again, the second one waits for it')
})

t.test('guards against calls with wrong inputs and jobs that stand still, in random orders of events', async t => {
  const { seed, numRuns } = { seed: 57, numRuns: 400 }
  let calls = 0
  fc.assert(fc.property(stageSteps, steps => {
    const run = runRandomStages(steps)
    calls += run.calls
    t.equal(run.faults.length, 0, run.faults[0] ?? 'no fault')
    return run.faults.length === 0
  }), { seed, numRuns, endOnFailure: true })
  t.ok(calls > numRuns, `${calls} calls in ${numRuns} runs`)
})
