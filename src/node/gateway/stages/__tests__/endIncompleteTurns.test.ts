import t from 'tap'
import { JobState } from '../jobState.js'
import { StageService } from '../stageService.js'
import { createTestScheduler } from './createTestScheduler.js'
import { endIncompleteTurns } from '../endIncompleteTurns.js'

t.test('guards against a call for a task that is queued although its inputs are not there', async t => {
  const sizes = { concurrentCalls: 1, batchSize: 10, resultRoomBytes: 1e9 }
  const spec = { ...sizes, callMs: 240, pieceMs: 10, resultLifetimeMs: 4000 }
  const services = new Map(['a', 'b'].map(name => [name, new StageService(name, spec)]))
  const { buildJob } = createTestScheduler([])
  const job = buildJob('p', [{ pieceCount: 2 }, { service: 'b', after: [0] }])
  const { tasks } = new JobState(job, { nowMs: 0, expectedMs: 1000, sortKeyMs: 0, services })
  const [input, task] = [tasks.get(0)!, tasks.get(1)!]
  const { readyTasks } = services.get('b')!
  input.startPiece(1, 0)
  readyTasks.add(task)
  t.same(endIncompleteTurns(services.get('b')!), [{
    requestId: 'p',
    service: 'b',
    stageIndex: 1,
    inputs: 2,
    missing: 2,
    waiting: 1,
    inFlight: 1,
    releasedStages: 0
  }])
  t.equal(readyTasks.size, 0)
})
