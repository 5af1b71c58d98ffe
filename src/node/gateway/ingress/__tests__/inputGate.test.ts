import { createServer } from 'node:http'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { ArrivalTimes } from '../arrivalTimes.js'
import { ClientConnection } from '../clientConnection.js'
import { RawClient } from '../../../../../playground/platform/rawClient.js'
import { systemClock } from '../../../../shared/systemClock.js'
import { waitUntil } from '../../../../../playground/fakes/waitUntil.js'
import type { AddressInfo } from 'node:net'

const fields = 'a: b\r\n'.repeat(400)

t.test('input of a connection while the heap is full', async t => {
  let connection: ClientConnection | undefined
  const arrivals = new ArrivalTimes({ clock: systemClock, runAfterTurn: setImmediate })
  const targets: Array<string | undefined> = []
  const server = createServer((message, response) => {
    const exchange = connection!.add(message, response)!
    targets.push(message.url)
    message.resume()
    exchange.waitForBody(once(message, 'end')).then(() => {
      response.writeHead(exchange.inputError?.status ?? 200).end()
    }, error => { response.destroy(error) })
  })
  server.on('connection', socket => {
    connection = new ClientConnection({ socket, clock: systemClock, arrivals, onCutOff: () => {}, onAnswerCutOff: () => {} })
    connection.setInputGate(() => false)
  })
  Object.assign(server, { httpAllowHalfOpen: true })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  t.teardown(() => { server.close() })

  /** Sends the parts one after the other; returns the statuses of the answers once `count` have come. */
  const sendParts = async (parts: readonly string[], count: number): Promise<readonly number[]> => {
    targets.length = 0
    const client = new RawClient(address)
    for (const [i, part] of parts.entries()) {
      client.send(part)
      if (i < parts.length - 1) await delay(50)
    }
    await waitUntil(() => client.answers.length >= count)
    client.close()
    return client.answers.map(({ status }) => status)
  }

  t.test('short requests are parsed', async t => {
    t.same(await sendParts(['GET /1 HTTP/1.1\r\nHost: a\r\n\r\n', 'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n'], 2), [200, 200])
    t.same(targets, ['/1', '/2'])
  })

  t.test('guards against heads without end that the parser keeps on a full heap', async t => {
    t.same(await sendParts([`GET /long HTTP/1.1\r\nHost: a\r\n${fields}`], 1), [503])
    t.same(targets, [])
  })

  t.test('a head behind an answered request is refused behind its answer', async t => {
    const parts = ['GET /1 HTTP/1.1\r\nHost: a\r\n\r\n', `GET /long HTTP/1.1\r\nHost: a\r\n${fields}`]
    t.same(await sendParts(parts, 2), [200, 503])
    t.same(targets, ['/1'])
  })

  t.test('bodies of a stated length are read', async t => {
    const body = 'x'.repeat(5000)
    t.same(await sendParts([`POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n`, body], 1), [200])
  })

  t.test('guards against trailers without end that the parser keeps on a full heap', async t => {
    const head = 'POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    t.same(await sendParts([head, '5\r\nhello\r\n0\r\n', fields], 1), [503])
  })
})
