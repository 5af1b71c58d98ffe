import t from 'tap'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { createMemoryMetrics } from '../../../../../playground/fakes/createMemoryMetrics.js'
import { createTestScheduler } from './createTestScheduler.js'
import { EnginePlanner } from '../../engines/enginePlanner.js'
import { memoryCallCodec } from '../../../../../playground/experiment/memoryCallCodec.js'
import { RecentAnswers } from '../recentAnswers.js'
import { StageDispatcher } from '../stageDispatcher.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'

t.test('jobs that keep arriving do not postpone the calls for earlier jobs', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'] }])
  const clock = new VirtualClock()
  const sentAtMs: number[] = []
  const dispatcher = new StageDispatcher({
    recentAnswers: new RecentAnswers(),
    scheduler,
    findPool: () => ({
      send: () => {
        sentAtMs.push(clock.readMonotonicMs())
        return () => {}
      }
    }),
    findDemands: () => undefined,
    engines: new EnginePlanner(() => []),
    codec: memoryCallCodec,
    clock,
    timers: clock,
    logger: createSilentLogger(),
    metrics: createMemoryMetrics()
  })
  const controller = new AbortController()
  for (let i = 0; i < 50; i++) {
    dispatcher.runJob(buildJob(`p${i}`, [{}]), controller.signal).catch(() => {})
    await clock.runFor(5)
  }
  dispatcher.stop()
  t.equal(sentAtMs.length, 1, 'the only upstream takes one call at a time')
  t.ok(sentAtMs[0]! <= 30, `sent after ${sentAtMs[0]} ms`)
})
