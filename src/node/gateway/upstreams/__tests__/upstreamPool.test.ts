import t from 'tap'
import { buildStandInAnswer } from '../../../../../playground/platform/buildStandInAnswer.js'
import { decodeUpstreamResponse } from '../../../platform/decodeUpstreamResponse.js'
import { UpstreamPool } from '../upstreamPool.js'
import { UpstreamStandIn } from '../../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../../playground/fakes/waitUntil.js'

const connectionLimit = 2

const noTraffic = {
  onExchangeStarted () {},
  onExchangeEnded () {},
  onBytes () {},
  onConnected () {},
  onConnectFailed () {}
}

t.test('guards against requests on connections that are closed because of bytes after a whole answer', async t => {
  const upstream = await new UpstreamStandIn('i-a', (request, socket) => {
    socket.write(`${buildStandInAnswer(request)}bytes that are no answer`)
  }).start()
  const pool = new UpstreamPool({
    address: upstream.address,
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: () => connectionLimit,
    onOpened: () => {},
    onHead: () => {},
    upstreamId: 'i-a',
    traffic: noTraffic,
    findRelay: () => undefined
  })
  t.teardown(() => {
    pool.close()
    upstream.stop()
  })
  for (let i = 0; i < 5; i++) {
    const outcome = await new Promise<string>(resolve => {
      pool.send({ method: 'GET', path: '/', headers: [] }, {
        onHead: () => {},
        onData: () => {},
        onEnd: () => { resolve('answered') },
        onFailure: ({ kind, detail }) => { resolve(`${kind}: ${detail}`) }
      })
    })
    t.equal(outcome, 'answered')
  }
})

t.test('guards against connections of unshared requests beyond the limit, beside idle ones', async t => {
  const openSockets = new Set<unknown>()
  let mostOpen = 0
  const upstream = await new UpstreamStandIn('i-a', (request, socket) => {
    if (!openSockets.has(socket)) socket.once('close', () => { openSockets.delete(socket) })
    openSockets.add(socket)
    mostOpen = Math.max(mostOpen, openSockets.size)
    setTimeout(() => { socket.write(buildStandInAnswer(request)) }, 20)
  }).start()
  const pool = new UpstreamPool({
    address: upstream.address,
    decodeResponse: decodeUpstreamResponse,
    getConnectionLimit: () => connectionLimit,
    onOpened: () => {},
    onHead: () => {},
    upstreamId: 'i-a',
    traffic: noTraffic,
    findRelay: () => undefined
  })
  t.teardown(() => {
    pool.close()
    upstream.stop()
  })
  const send = async (isUnshared: boolean): Promise<string> => await new Promise(resolve => {
    pool.sendDirectly({ method: 'GET', path: '/', headers: [] }, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => { resolve('answered') },
      onFailure: ({ kind }) => { resolve(kind) }
    }, isUnshared)
  })
  t.same(await Promise.all([send(false), send(false)]), ['answered', 'answered'])
  t.equal(openSockets.size, 2, 'two idle connections')
  t.equal(await send(true), 'answered')
  t.equal(upstream.connectionCount, 3, 'an unshared request has a connection of its own')
  t.ok(mostOpen <= connectionLimit, `${mostOpen} connections at the same time`)
  await waitUntil(() => openSockets.size === 1)
  t.pass('its connection is closed after its answer')
})
