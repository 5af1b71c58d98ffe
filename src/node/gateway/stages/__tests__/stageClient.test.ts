import t from 'tap'
import { CellRegistry } from '../cellRegistry.js'
import { createMemoryMetrics } from '../../../../../playground/fakes/createMemoryMetrics.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { EnginePlanner } from '../../engines/enginePlanner.js'
import { HostDirectory } from '../../hosts/hostDirectory.js'
import { memoryCallCodec } from '../../../../../playground/experiment/memoryCallCodec.js'
import { PeerUnavailableError } from '../../../../shared/peerUnavailableError.js'
import { StageClient } from '../stageClient.js'
import { RecentAnswers } from '../recentAnswers.js'
import { StageDispatcher } from '../stageDispatcher.js'
import { StageScheduler } from '../stageScheduler.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { ExchangeHandler } from '../../upstreams/exchangeHandler.js'
import type { ExchangeRequest } from '../../upstreams/exchangeRequest.js'
import type { ServiceSpec } from '../../model/serviceSpec.js'
import type { StagePiece } from '../../model/stagePiece.js'
import type { UpstreamEntry } from '../../model/upstreamEntry.js'

const domains = ['quay-a', 'quay-b']
const upstreamsPerDomain = 3
const batchSize = 4
const callMs = 200
const targetMs = 800
/** Jobs of one piece per second that one cell completes with full calls. */
const cellCapacity = upstreamsPerDomain * batchSize / (callMs / 1000)

/** A host that schedules two cells of three upstreams itself, in virtual time. */
function createCells () {
  const clock = new VirtualClock()
  const callsByDomain = new Map<string, number>()
  const entries = domains.flatMap(failureDomain => Array.from({ length: upstreamsPerDomain }, (_, i): UpstreamEntry => ({
    id: `${failureDomain}-${i}`, service: 'a', address: '', failureDomain, slots: 1, isDraining: false, version: 'v1', startedAtMs: 0
  })))
  const send = (upstreamId: string, request: ExchangeRequest, handler: ExchangeHandler): () => void => {
    if (request.path !== memoryCallCodec.runPath) return () => {}
    const { failureDomain } = entries.find(entry => entry.id === upstreamId)!
    const pieces = JSON.parse(request.body as string) as readonly StagePiece[]
    callsByDomain.set(failureDomain, (callsByDomain.get(failureDomain) ?? 0) + pieces.length)
    return clock.schedule(callMs, () => {
      handler.onHead({ status: 200, isNotRun: false, areInputsGone: false, isMisdirected: false, closesConnection: false, isLeaving: false, isSigned: false, isFramed: true, forwardedHeaders: [] })
      handler.onData(Buffer.from(JSON.stringify(pieces.map(piece => ({ handle: `${upstreamId}/${piece.requestId}` })))))
      handler.onEnd()
    })
  }
  const logger = createSilentLogger()
  const metrics = createMemoryMetrics()
  const cells = new CellRegistry(() => {
    const scheduler = new StageScheduler()
    const engines = new EnginePlanner(() => [])
    const findPool = (upstreamId: string) => ({ send: (request: ExchangeRequest, handler: ExchangeHandler) => send(upstreamId, request, handler) })
    const dispatcher = new StageDispatcher({
      recentAnswers: new RecentAnswers(),
      scheduler,
      findPool,
      findDemands: () => undefined,
      engines,
      codec: memoryCallCodec,
      clock,
      timers: clock,
      logger,
      metrics
    })
    return { scheduler, engines, dispatcher }
  })
  const spec: ServiceSpec = { name: 'a', connectionLimit: 100, healthPath: '/health', stage: { concurrentCalls: 1, batchSize, callMs, pieceMs: 0, resultRoomBytes: 1e9, resultLifetimeMs: 4000 } }
  cells.applyUpstreams(new Map([['a', spec]]), () => entries)
  const hosts = new HostDirectory({ id: 'h', failureDomain: 'quay-a', clientAddress: '', peerAddress: '', cores: 1, isReady: true, startedAtMs: 0 }, logger, () => {})
  const sessions = {
    openSession: () => { throw new PeerUnavailableError('there is no other host') },
    handleSession: () => {}
  }
  const client = new StageClient({ cells, hosts, sessions, clock, logger, metrics })

  /** Plays jobs of one piece at a steady rate; returns the shares that ended on time and that were refused. */
  const play = async (jobsPerSecond: number, seconds: number, chooseSession: (index: number) => string | undefined) => {
    const counts = { onTime: 0, refused: 0 }
    const count = jobsPerSecond * seconds
    for (let i = 0; i < count; i++) {
      const sentAtMs = clock.readMonotonicMs()
      const session = chooseSession(i)
      client.runStages({
        id: `j${i}`,
        requestId: `j${i}`,
        pieceKey: 'k',
        route: 'r',
        stages: [{ index: 0, service: 'a', after: [], pieceCount: 1, resultBytes: 10 }],
        targetAtMs: sentAtMs + targetMs,
        deadlineAtMs: sentAtMs + 5000,
        priority: 0,
        preferredDomain: '',
        prompt: { tokens: 10, parts: session === undefined ? [] : [{ id: session, tokens: 5 }, { id: `own-${i}`, tokens: 5 }] },
        isDeclinable: false
      }, new AbortController().signal).then(({ outcome, release }) => {
        if (outcome.type === 'completed' && clock.readMonotonicMs() - sentAtMs <= targetMs) counts.onTime++
        if (outcome.type === 'refused') counts.refused++
        release()
      }, () => {})
      await clock.runFor(1000 / jobsPerSecond)
    }
    await clock.runFor(6000)
    cells.stop()
    return { onTime: counts.onTime / count, refused: counts.refused / count, callsByDomain }
  }
  return { play }
}

t.test('below the capacity of its cell, all requests of a session stay in one failure domain', async t => {
  const { onTime, callsByDomain } = await createCells().play(cellCapacity / 2, 5, () => 'session')
  t.equal(onTime, 1)
  t.equal(callsByDomain.size, 1, 'results and prompt caches stay in the domain')
})

t.test('a session that asks for more than its cell can do is served by the other cell as well', async t => {
  const { onTime, refused, callsByDomain } = await createCells().play(cellCapacity * 1.5, 8, () => 'session')
  t.ok(onTime > 0.95, `${onTime} on time`)
  t.ok(refused < 0.02, `${refused} refused`)
  t.equal(callsByDomain.size, 2)
})

t.test('requests without a session are spread over all cells', async t => {
  const { onTime, callsByDomain } = await createCells().play(cellCapacity / 2, 5, () => undefined)
  t.equal(onTime, 1)
  for (const domain of domains) t.ok((callsByDomain.get(domain) ?? 0) > 0.3 * cellCapacity / 2 * 5, `${callsByDomain.get(domain)} in ${domain}`)
})

t.test('a load above the capacity of all cells is refused at once for the part that cannot be on time', async t => {
  const { onTime, refused } = await createCells().play(cellCapacity * 3, 8, i => `session-${i % 50}`)
  t.ok(onTime > 0.55, `${onTime} on time; the capacity allows 0.67`)
  t.ok(refused > 0.1, `${refused} refused`)
})
