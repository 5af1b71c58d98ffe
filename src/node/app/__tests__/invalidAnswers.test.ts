import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { createAnswerMemory } from '../../../../playground/fakes/createAnswerMemory.js'
import { createMemoryMetrics } from '../../../../playground/fakes/createMemoryMetrics.js'
import { decodeUpstreamResponse } from '../../platform/decodeUpstreamResponse.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { sendStageCall } from '../../gateway/stages/sendStageCall.js'
import { silentLogger } from '../../../../playground/fakes/silentLogger.js'
import { stageCallCodec } from '../../platform/stageCallCodec.js'
import { StoreEra } from '../../gateway/store/storeEra.js'
import { StoreHttpClient } from '../../platform/storeHttpClient.js'
import { systemScheduler } from '../../../shared/systemScheduler.js'
import { UpstreamClient } from '../../upstreams/upstreamClient.js'
import { UpstreamPool } from '../../gateway/upstreams/upstreamPool.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

const noTraffic = { onExchangeStarted () {}, onExchangeEnded () {}, onBytes () {}, onConnected () {}, onConnectFailed () {} }
/** Text of the assertions of the HTTP client. */
const assertionText = /assert|evaluated|falsy|==|<|>/i
const invalidStatuses = ['000', '099', '600', '999', '1000']

function createPool (address: string): UpstreamPool {
  return new UpstreamPool({
    address,
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: () => 4,
    onOpened: () => {},
    onHead: () => {},
    upstreamId: 'i-a',
    traffic: noTraffic,
    findRelay: () => undefined
  })
}

/** Each client's outcome of one call: `complete` or the text of the failure. */
type Send = (address: string, body: string) => Promise<string>

const sendInPool: Send = async (address, body) => {
  const pool = createPool(address)
  const outcome = await new Promise<string>(resolve => {
    pool.send({ method: 'POST', path: '/', headers: [], body: Buffer.from(body) }, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => { resolve('complete') },
      onFailure: ({ kind, detail }) => { resolve(`${kind}: ${detail}`) }
    })
  })
  pool.close()
  return outcome
}

const sendInStage: Send = async (address, body) => {
  const pool = createPool(address)
  const outcome = await new Promise<string>(resolve => {
    sendStageCall({
      pool,
      // The call is of any length, and any whole answer is readable.
      codec: { ...stageCallCodec, encodePieces: () => body, decodeResults: () => [{ handle: 'h', bytes: 1 }] as never },
      call: { upstreamId: 'i-a', pieces: [], timeoutMs: 3000 } as never,
      timers: systemScheduler,
      isFirstAnswer: () => true,
      onAnswer: () => { resolve('complete') },
      onFailure: resolve
    })
  })
  pool.close()
  return outcome
}

const sendToStore: Send = async (address, body) => {
  const metrics = createMemoryMetrics()
  const client = new StoreHttpClient(address, metrics, new StoreEra(silentLogger, metrics))
  const outcome = await client.send('POST', '/v1/x', { text: body }).then(() => 'complete', (error: Error) => error.message)
  client.close()
  return outcome
}

const sendInServe: Send = async (address, body) => {
  const client = new UpstreamClient({ upstreamId: 'i-a', address, answerMemory: createAnswerMemory() })
  const signal = AbortSignal.timeout(3000)
  const sent = client.send({ method: 'POST', path: '/v1/x', body }, signal)
  const outcome = await sent.then(() => 'complete', (error: Error) => error.message)
  client.close()
  return outcome
}

const clients: ReadonlyArray<readonly [string, Send]> = [
  ['requests, direct and by relay', sendInPool],
  ['stage calls', sendInStage],
  ['calls of the store', sendToStore],
  ['calls of the serve command', sendInServe]
]

async function startServer (t: { readonly teardown: (stop: () => void) => void }, onRequest: (socket: Socket) => void, isReading = true): Promise<string> {
  const sockets = new Set<Socket>()
  const server = createServer({ allowHalfOpen: true, pauseOnConnect: !isReading }, socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    if (isReading) socket.once('data', () => { onRequest(socket) })
    else onRequest(socket)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

for (const [name, send] of clients) {
  t.test(`guards against ${name} that take a status outside 100 to 599 for an answer`, async t => {
    for (const status of invalidStatuses) {
      const address = await startServer(t, socket => {
        socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`)
      })
      const outcome = await send(address, 'x')
      t.not(outcome, 'complete', status)
      t.notMatch(outcome, assertionText, `${status}: ${outcome}`)
      t.match(outcome, /status/i, `${status}: ${outcome}`)
    }
  })

  t.test(`guards against ${name} that take a part of an answer for the whole, while the upload is still written`, async t => {
    const ends: Readonly<Record<string, (socket: Socket) => void>> = {
      'a reset': socket => { socket.resetAndDestroy() },
      'a close': socket => { socket.destroy() },
      'an orderly end, then a reset of the upload': socket => {
        socket.end()
        setTimeout(() => { socket.resetAndDestroy() }, 100)
      }
    }
    for (const [end, close] of Object.entries(ends)) {
      const address = await startServer(t, socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n{"part":1}')
        setTimeout(() => { close(socket) }, 50)
      }, false)
      t.not(await send(address, 'x'.repeat(16_000_000)), 'complete', end)
    }
  })
}

t.test('a request whose upstream answers with a status outside 100 to 599', { timeout: 60_000 }, async t => {
  const fleet = await new GatewayTestHarness().start()
  let status = ''
  const upstream = await new UpstreamStandIn('i-a', (request, socket) => {
    socket.write(buildStandInAnswer(request).replace('200', status))
  }).start()
  t.teardown(async () => {
    await fleet.stop()
    upstream.stop()
  })
  const version = fleet.writeConfiguration({
    services: [{ name: 'shop' }],
    routes: [{ pathPrefix: '/once/', service: 'shop', kind: 'unsafe', maxAttempts: 1 }]
  })
  fleet.addUpstream(upstream, 'shop')
  await fleet.waitForLogLine('configuration in force', `"version":${version}`)
  await fleet.waitForLogLine('upstream added', 'i-a')
  for (const invalidStatus of invalidStatuses) {
    status = invalidStatus
    const answer = await fleet.send(`/once/${status}`, { method: 'POST', body: 'x' })
    t.equal(answer.status, 502, status)
    t.notMatch(JSON.parse(answer.body).error.message, assertionText, answer.body)
    // Without a whole answer in between, the upstream is paused after three.
    status = '200'
    t.equal((await fleet.send('/once/200', { method: 'POST', body: 'x' })).status, 200)
  }
})
