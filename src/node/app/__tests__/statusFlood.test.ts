import { connect } from 'node:net'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { FloodedHost } from '../../../../playground/platform/floodedHost.js'
import { RawClient } from '../../../../playground/platform/rawClient.js'
import { sendClientRequest } from '../../../../playground/platform/sendClientRequest.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { Socket } from 'node:net'

/** Third byte of the host's loopback addresses; 250 to 255 are used by other tests. */
const network = 249
const memoryMb = 480
const connectionCount = 4000
const limits = { timeoutMs: 30_000, targetLatencyMs: 500, priority: 1, maxAttempts: 2 }
const route = { name: 'r', host: 'shop.example', pathPrefix: '/', kind: 'safe', service: 'shop', ...limits }

t.test('a host whose directory and readiness ports are flooded', { timeout: 110_000 }, async t => {
  const flooded = await new FloodedHost({ network, memoryMb, routes: [route] }).start()
  const { host, address } = flooded
  t.teardown(async () => { await flooded.stop() })

  const isServed = async (): Promise<boolean> => {
    const headers = { authorization: 'Token steady-key', 'x-time-remaining': '8000' }
    const answer = sendClientRequest(address, 'sound', '/x', { headers }).then(({ status }) => status, () => undefined)
    return await Promise.race([answer, delay(9000, undefined, { ref: false })]) === 200
  }

  for (const [name, port] of [['directory', 7003], ['readiness', 7002]] as const) {
    t.test(`guards against connections to the ${name} port that take the heap or the descriptors of requests`, async t => {
      await flooded.startAgain()
      const fields = Array.from({ length: 1000 }, (_, i) => `a${i}: hhhhhhh\r\n`).join('')
      const sockets: Socket[] = []
      for (let i = 0; i < connectionCount && host.process.isRunning; i++) {
        const socket = connect({ host: host.ipAddress, port }).on('error', () => {})
        socket.write(`GET /-/readiness HTTP/1.1\r\nhost: a\r\n${fields}`)
        sockets.push(socket)
        if (i % 100 === 0) await delay(20)
      }
      const served = []
      for (let i = 0; i < 10; i++) served.push(await isServed())
      const { isRunning } = host.process
      const peakMb = flooded.readPeakMb()
      for (const socket of sockets) socket.destroy()
      await Promise.all(sockets.filter(socket => !socket.closed).map(async socket => await once(socket, 'close')))
      t.comment(JSON.stringify({ isRunning, peakMb: Math.round(peakMb), served }))
      t.ok(isRunning, 'the process runs on')
      t.ok(peakMb < memoryMb, `${peakMb} MB`)
      t.same(served, served.map(() => true), 'requests are served')
    })
  }

  t.test('guards against kept connections to the directory that keep other clients out', async t => {
    await flooded.startAgain()
    const query = 'GET /-/resolution?name=shop.example HTTP/1.1\r\nhost: a\r\n\r\n'
    const clients: RawClient[] = []
    for (let i = 0; i < 1000; i++) {
      clients.push(new RawClient(host.directoryAddress).send(query))
      if (i % 50 === 0) await delay(20)
    }
    await waitUntil(() => clients.every(({ answers, isClosed }) => answers.length > 0 || isClosed))
    const refusedCount = clients.filter(({ answers }) => answers.length === 0).length
    t.ok(refusedCount > 0 && refusedCount < 50, `${refusedCount} of 1,000 refused`)
    for (const client of clients) client.close()
  })
})
