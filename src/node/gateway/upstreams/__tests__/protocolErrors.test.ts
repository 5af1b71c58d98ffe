import t from 'tap'
import { createTestDirectory } from '../../conditions/__tests__/createTestDirectory.js'
import { sendRelease } from '../../stages/sendRelease.js'
import { sendStageCall } from '../../stages/sendStageCall.js'
import { stageCallCodec } from '../../../platform/stageCallCodec.js'
import { systemScheduler } from '../../../../shared/systemScheduler.js'
import { upstreamConstants } from '../constants.js'
import { UpstreamStandIn } from '../../../../../playground/platform/upstreamStandIn.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { Socket } from 'node:net'
import type { StageCall } from '../../stages/stageCall.js'
import type { UpstreamPool } from '../upstreamPool.js'

type Send = (pool: UpstreamPool) => Promise<unknown>

const call: StageCall = {
  id: 1,
  service: 'stage',
  upstreamId: 'i-a',
  pieces: [{ requestId: 'r-1', stageIndex: 0, pieceIndex: 0, timeLeftMs: 1000, pieceKey: 'k' }],
  pieceRefs: [],
  sentAtMs: 0,
  expectedMs: 100,
  timeoutMs: 1000
}
const timers = systemScheduler
const senders: Readonly<Record<string, Send>> = {
  'a request': async pool => await new Promise(resolve => {
    const onFailure = resolve
    pool.send({ method: 'GET', path: '/', headers: [] }, { onHead: () => {}, onData: () => {}, onEnd: () => { resolve('complete') }, onFailure })
  }),
  'a stage call': async pool => await new Promise(resolve => {
    sendStageCall({ pool, codec: stageCallCodec, call, timers, isFirstAnswer: () => true, onAnswer: resolve, onFailure: resolve })
  }),
  'a release': async pool => await new Promise(resolve => {
    const release = { service: 'stage', upstreamId: 'i-a', handles: ['h'], bytes: 1 }
    sendRelease({ pool, codec: stageCallCodec, release, timers, onEnd: resolve })
  })
}
const ok = 'HTTP/1.1 200 OK\r\n'
const protocolErrors: Readonly<Record<string, string>> = {
  'bytes that are no answer': 'x'.repeat(100),
  'a status of three letters': 'HTTP/1.1 abc X\r\n\r\n',
  'a status outside 100 to 599': 'HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n',
  'interim responses': 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(upstreamConstants.maxInterimResponses + 1),
  'a switch to another protocol': 'HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n',
  'a bad header after a length': `${ok}Content-Length: 5\r\n\x01: b\r\n\r\n`,
  'a bad chunk size': `${ok}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
  'header lines without end': ok + 'a:b\r\n'.repeat(8000)
}
const cuts: Readonly<Record<string, (socket: Socket) => void>> = {
  'a close before the head': socket => { socket.end('HTTP/1.1 200') },
  'a close within a body': socket => { socket.end(`${ok}Content-Length: 5\r\nConnection: close\r\n\r\nab`) },
  'a close within a chunk': socket => { socket.end(`${ok}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nab`) },
  'a reset within a body': socket => {
    socket.write(`${ok}Content-Length: 5\r\n\r\nab`)
    setTimeout(() => { socket.resetAndDestroy() }, 10)
  }
}

const soundAnswers: Readonly<Record<string, string>> = {
  'not modified, with the length of the representation': 'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n',
  'not modified, with a length, and a close': 'HTTP/1.1 304 Not Modified\r\nConnection: close\r\nContent-Length: 5\r\n\r\n',
  'an answer without content': 'HTTP/1.1 204 No Content\r\n\r\n',
  'a chunked answer with an extension and a trailer': `${ok}Transfer-Encoding: chunked\r\nTrailer: a\r\n\r\n1;x=y\r\na\r\n0\r\na: b\r\n\r\n`,
  'an interim response and an empty answer': `HTTP/1.1 103 Early Hints\r\n\r\n${ok}Content-Length: 0\r\n\r\n`
}

/** Resolves to the conditions that hold back the upstream after as many answers as are enough for a pause. */
async function listConditions (send: Send, answer: (socket: Socket) => void): Promise<readonly string[]> {
  const upstream = await new UpstreamStandIn('i-a', (_, socket) => { answer(socket) }).start()
  const directory = createTestDirectory(new VirtualClock())
  directory.applyEntry({
    id: 'i-a',
    service: 'stage',
    address: upstream.address,
    failureDomain: 'a',
    version: 'v1',
    slots: 4,
    isDraining: false,
    startedAtMs: 1
  })
  const { pool } = directory.find('i-a')!
  for (let i = 0; i < upstreamConstants.protocolErrorsToPause; i++) await send(pool)
  const conditions = directory.describeBlocks('i-a').map(({ condition }) => condition)
  pool.close()
  upstream.stop()
  return conditions
}

for (const [name, send] of Object.entries(senders)) {
  t.test(`guards against ${name} that teaches nothing of an upstream that breaks the protocol`, async t => {
    for (const [shape, bytes] of Object.entries(protocolErrors)) {
      t.same(await listConditions(send, socket => { socket.write(bytes) }), ['protocol-error'], shape)
    }
  })

  t.test(`guards against ${name} that takes a cut connection for a fault of the upstream`, async t => {
    for (const [shape, answer] of Object.entries(cuts)) t.same(await listConditions(send, answer), [], shape)
  })
}

t.test('guards against a sound upstream that is paused', async t => {
  for (const [shape, bytes] of Object.entries(soundAnswers)) {
    const failures: unknown[] = []
    const send: Send = async pool => { failures.push(await senders['a request']!(pool)) }
    t.same(await listConditions(send, socket => { socket.write(bytes) }), [], shape)
    t.same(failures, ['complete', 'complete', 'complete'], shape)
  }
})

t.test('guards against bodies over the limit of stage calls and releases that teach nothing', async t => {
  const body = `${ok}\r\n${'x'.repeat(1_048_576)}`
  for (const name of ['a stage call', 'a release']) {
    t.same(await listConditions(senders[name]!, socket => { socket.write(body) }), ['protocol-error'], name)
  }
})
