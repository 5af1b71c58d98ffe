import t from 'tap'
import { decodeUpstreamResponse } from '../../../platform/decodeUpstreamResponse.js'
import { RecentAnswers } from '../recentAnswers.js'
import { sendRelease } from '../sendRelease.js'
import { sendStageCall } from '../sendStageCall.js'
import { stageCallCodec } from '../../../platform/stageCallCodec.js'
import { stageConstants } from '../constants.js'
import { systemScheduler } from '../../../../shared/systemScheduler.js'
import { UpstreamPool } from '../../upstreams/upstreamPool.js'
import { UpstreamStandIn } from '../../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../../playground/fakes/waitUntil.js'
import type { Socket } from 'node:net'
import type { StageCall } from '../stageCall.js'
import type { StagePieceResult } from '../../model/stagePieceResult.js'
import type { StandInRequest } from '../../../../../playground/platform/standInRequest.js'
import type { Test } from 'tap'

const buildAnswer = (handles: readonly string[]): string => {
  const body = JSON.stringify({ items: handles.map(handle => ({ handle })) })
  return `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}
const buildCall = (id: number, pieceCount: number): StageCall => ({
  id,
  service: 'stage',
  upstreamId: 'i-a',
  pieces: Array.from({ length: pieceCount }, (_, pieceIndex) => ({ requestId: `r${id}`, stageIndex: 0, pieceIndex, timeLeftMs: 1000, pieceKey: 'k' })),
  pieceRefs: [],
  sentAtMs: 0,
  expectedMs: 100,
  timeoutMs: 1000
})

async function startUpstream (t: Test, answer: (request: StandInRequest, socket: Socket) => void) {
  const upstream = await new UpstreamStandIn('i-a', answer).start()
  const pool = new UpstreamPool({
    address: upstream.address,
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: () => 4,
    onOpened: () => {},
    onHead: () => {},
    upstreamId: 'i-a',
    traffic: {
      onExchangeStarted: () => {},
      onExchangeEnded: () => {},
      onBytes: () => {},
      onConnected: () => {},
      onConnectFailed: () => {}
    },
    findRelay: () => undefined
  })
  t.teardown(() => {
    pool.close()
    upstream.stop()
  })
  const recentAnswers = new RecentAnswers()
  const send = async (call: StageCall): Promise<readonly StagePieceResult[] | string> => await new Promise(resolve => {
    sendStageCall({
      pool,
      codec: stageCallCodec,
      call,
      timers: systemScheduler,
      isFirstAnswer: results => recentAnswers.addAnswer(pool, results),
      onAnswer: resolve,
      onFailure: resolve
    })
  })
  return { upstream, pool, send }
}

t.test('a second copy of a stage answer is not taken for the answer to the next call, whose own answer reaches no other call', async t => {
  const answers = [buildAnswer(['a1', 'a2']), buildAnswer(['b1', 'b2']), buildAnswer(['c1', 'c2']), buildAnswer(['d1', 'd2'])]
  const { upstream, send } = await startUpstream(t, (_, socket) => {
    const index = upstream.requests.length - 1
    if (index !== 1) return socket.write(answers[index]!)
    socket.write(answers[0]!)
    setTimeout(() => { socket.write(answers[1]!) }, 20)
  })
  t.same(await send(buildCall(1, 2)), [{ handle: 'a1' }, { handle: 'a2' }])
  t.equal(await send(buildCall(2, 2)), 'second copy of an earlier answer')
  t.same(await send(buildCall(3, 2)), [{ handle: 'c1' }, { handle: 'c2' }])
  await new Promise(resolve => { setTimeout(resolve, 40) })
  t.same(await send(buildCall(4, 2)), [{ handle: 'd1' }, { handle: 'd2' }])
  t.equal(upstream.connectionCount, 2, 'the connection with the copy is closed')
})

const buildBody = (status: number, body: string): string => `HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`
const allFailed = buildBody(200, '{"items":[{"reason":"late"},{"reason":"late"}]}')
/** First answer on a connection, which comes again before that to the next call. */
const copiedAnswers: Readonly<Record<string, { readonly answer: string, readonly pieceCount: number }>> = {
  'an answer to a call of fewer pieces': { answer: buildAnswer(['a1']), pieceCount: 1 },
  'an answer to a call of more pieces': { answer: buildAnswer(['a1', 'a2', 'a3']), pieceCount: 3 },
  'an answer whose pieces all failed': { answer: allFailed, pieceCount: 2 },
  'a refusal': { answer: buildBody(503, 'full'), pieceCount: 2 },
  'an answer that is no JSON': { answer: buildBody(200, 'ok'), pieceCount: 2 },
  'an empty answer': { answer: buildBody(200, ''), pieceCount: 2 }
}
for (const [name, { answer, pieceCount }] of Object.entries(copiedAnswers)) {
  t.test(`guards against a second copy of ${name} that shifts the answers of later calls`, async t => {
    const { upstream, send } = await startUpstream(t, (_, socket) => {
      const index = upstream.requests.length - 1
      const [first, second] = [`own-${index}-1`, `own-${index}-2`]
      if (index === 0) return socket.write(answer)
      // The copy arrives before the answer to the next call, which may still come when another call is sent.
      if (index === 1) socket.write(answer)
      setTimeout(() => { if (!socket.destroyed) socket.write(buildAnswer([first, second])) }, 20)
    })
    await send(buildCall(1, pieceCount))
    for (let index = 1; index < 6; index++) {
      const results = await send(buildCall(index + 1, 2))
      // Pieces that failed are sent again; results of another call are not.
      const handles = typeof results === 'string' ? [] : results.flatMap(result => 'handle' in result ? [result.handle] : [])
      t.ok(handles.every(handle => handle.startsWith(`own-${index}-`)), `call ${index} gets ${JSON.stringify(results)}`)
    }
  })
}

t.test('guards against a second copy that comes after many answers on other connections', async t => {
  const held: Array<() => void> = []
  const { upstream, send } = await startUpstream(t, (_, socket) => {
    const index = upstream.requests.length
    if (index === 1) held.push(() => { socket.write(buildAnswer(['h1'])) })
    else if (index < 40) socket.write(buildAnswer([`h${index}`]))
    else socket.write(buildAnswer(['h1']))
  })
  const first = send(buildCall(1, 1))
  await waitUntil(() => upstream.requests.length === 1)
  for (let index = 2; index < 20; index++) await send(buildCall(index, 1))
  held[0]!()
  t.same(await first, [{ handle: 'h1' }])
  for (let index = 20; index < 40; index++) await send(buildCall(index, 1))
  t.equal(await send(buildCall(40, 1)), 'second copy of an earlier answer')
})

t.test('answers that failed as a whole are no copies, and upstreams that are gone are forgotten', async t => {
  const answers = new RecentAnswers()
  const failure = { failure: 'error' } as const
  const [poolA, poolB, laterPoolA] = [{}, {}, {}]
  t.ok(answers.addAnswer(poolA, [failure]))
  t.ok(answers.addAnswer(poolA, [failure]))
  t.ok(answers.addAnswer(poolA, [{ handle: 'h' }]))
  t.ok(answers.addAnswer(poolB, [{ handle: 'h' }]), 'handles are compared by upstream')
  t.notOk(answers.addAnswer(poolA, [failure, { handle: 'h' }]))
  t.ok(answers.addAnswer(laterPoolA, [{ handle: 'h' }]), 'another upstream under the same id')
  t.notOk(answers.addAnswer(poolB, [{ handle: 'h' }]))
})

for (const [name, head] of [['a stage call', '/-/stage-run'], ['a release', '/-/stage-free']] as const) {
  t.test(`an answer to ${name} without end is cut at a bound, and its connection is closed`, async t => {
    let isOpen = true
    let sentBytes = 0
    const { pool, send } = await startUpstream(t, (request, socket) => {
      t.equal(request.path, head)
      socket.once('close', () => { isOpen = false })
      socket.write('HTTP/1.1 200 OK\r\n\r\n')
      const timer = setInterval(() => {
        if (socket.destroyed) return clearInterval(timer)
        sentBytes += 16_384
        socket.write('x'.repeat(16_384))
      }, 2)
    })
    if (name === 'a stage call') t.match(await send(buildCall(1, 2)), 'answer too large')
    else {
      const outcome = await new Promise(resolve => {
        sendRelease({ pool, codec: stageCallCodec, release: { service: 'stage', upstreamId: 'i-a', handles: ['h'], bytes: 1 }, timers: systemScheduler, onEnd: resolve })
      })
      t.equal(outcome, 'failed')
    }
    await waitUntil(() => !isOpen)
    t.ok(sentBytes < 1_048_576, `${sentBytes} bytes were sent`)
  })
}

t.test('a release that is not answered ends after its timeout, so that its memory is counted as free', async t => {
  const { pool } = await startUpstream(t, () => {})
  const startMs = performance.now()
  const outcome = await new Promise(resolve => {
    sendRelease({ pool, codec: stageCallCodec, release: { service: 'stage', upstreamId: 'i-a', handles: ['h'], bytes: 1 }, timers: systemScheduler, onEnd: resolve })
  })
  t.equal(outcome, 'failed')
  t.ok(performance.now() - startMs < stageConstants.releaseTimeoutMs + 500)
})
