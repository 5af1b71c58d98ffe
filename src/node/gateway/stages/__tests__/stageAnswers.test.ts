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
      isFirstAnswer: results => recentAnswers.addAnswer('i-a', results),
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

t.test('answers that failed as a whole are no copies, and upstreams that are gone are forgotten', async t => {
  const answers = new RecentAnswers()
  const failure = { failure: 'error' } as const
  t.ok(answers.addAnswer('i-a', [failure]))
  t.ok(answers.addAnswer('i-a', [failure]))
  t.ok(answers.addAnswer('i-a', [{ handle: 'h' }]))
  t.ok(answers.addAnswer('i-b', [{ handle: 'h' }]), 'handles are compared by upstream')
  t.notOk(answers.addAnswer('i-a', [failure, { handle: 'h' }]))
  answers.removeOthers(new Set(['i-b']))
  t.ok(answers.addAnswer('i-a', [{ handle: 'h' }]), 'another upstream under the same id')
  t.notOk(answers.addAnswer('i-b', [{ handle: 'h' }]))
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
