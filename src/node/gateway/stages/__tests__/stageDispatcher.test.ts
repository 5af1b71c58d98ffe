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

t.test('guards against calls to a stage upstream that a condition holds back, and against waiting when its wait ends', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x', 'x'] }])
  const clock = new VirtualClock()
  const sentTo: string[] = []
  const waitsMs = new Map([['a-0', Infinity], ['a-1', 200]])
  const dispatcher = new StageDispatcher({
    recentAnswers: new RecentAnswers(),
    scheduler,
    findPool: upstreamId => ({
      send: () => {
        sentTo.push(upstreamId)
        return () => {}
      }
    }),
    findDemands: upstreamId => ({ backoffUntilMs: 0, waitMs: waitsMs.get(upstreamId) ?? 0 }),
    engines: new EnginePlanner(() => []),
    codec: memoryCallCodec,
    clock,
    timers: clock,
    logger: createSilentLogger(),
    metrics: createMemoryMetrics()
  })
  dispatcher.onUpstreamsChanged()
  dispatcher.runJob(buildJob('p', [{}]), new AbortController().signal).catch(() => {})
  await clock.runFor(150)
  t.same(sentTo, [])
  waitsMs.set('a-1', 0)
  await clock.runFor(300)
  t.same(sentTo, ['a-1'])
  dispatcher.stop()
})

t.test('guards against refusing jobs for a condition that ended while no work was waiting', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x', 'x'] }])
  const clock = new VirtualClock()
  const sentTo: string[] = []
  let waitMs = Infinity
  const dispatcher = new StageDispatcher({
    recentAnswers: new RecentAnswers(),
    scheduler,
    findPool: upstreamId => ({
      send: () => {
        sentTo.push(upstreamId)
        return () => {}
      }
    }),
    findDemands: () => ({ backoffUntilMs: 0, waitMs }),
    engines: new EnginePlanner(() => []),
    codec: memoryCallCodec,
    clock,
    timers: clock,
    logger: createSilentLogger(),
    metrics: createMemoryMetrics()
  })
  dispatcher.onUpstreamsChanged()
  await clock.runFor(10)
  const refused = await dispatcher.runJob(buildJob('p', [{}]), new AbortController().signal)
  t.equal(refused.type, 'refused')
  waitMs = 0
  dispatcher.runJob(buildJob('q', [{}]), new AbortController().signal).catch(() => {})
  await clock.runFor(100)
  t.same(sentTo, ['a-0'])
  dispatcher.stop()
})

t.test('guards against more calls at a stage upstream than a condition allows', async t => {
  const { scheduler, buildJob } = createTestScheduler([{ name: 'a', domains: ['x'] }])
  scheduler.addJob(buildJob('p', [{}]), 0)
  scheduler.applyHolds(() => ({ backoffUntilMs: 0, places: 0 }), 0)
  t.equal(scheduler.planCalls(0).length, 0)
  scheduler.applyHolds(() => undefined, 0)
  t.equal(scheduler.planCalls(0).length, 1)
})
