import { createServer } from 'node:http'
import { once } from 'node:events'
import t from 'tap'
import { ArrivalTimes } from '../arrivalTimes.js'
import { ClientConnection } from '../clientConnection.js'
import { RawClient } from '../../../../../playground/platform/rawClient.js'
import { systemClock } from '../../../../shared/systemClock.js'
import { waitUntil } from '../../../../../playground/fakes/waitUntil.js'
import type { AddressInfo } from 'node:net'
import type { CutOffRequest } from '../cutOffRequest.js'

const request = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`

t.test('requests that a closed connection leaves unanswered', async t => {
  const cutOff: CutOffRequest[] = []
  let connection: ClientConnection | undefined
  const arrivals = new ArrivalTimes({ clock: systemClock, runAfterTurn: setImmediate })
  const server = createServer((message, response) => {
    const exchange = connection!.add(message, response)!
    exchange.requestId = message.url
    exchange.isPassedOn = () => message.url !== '/kept'
    if (message.url === '/close') response.writeHead(200, { connection: 'close' }).end()
    if (message.url === '/fail') {
      connection!.setCloseReason('failure')
      response.destroy()
    }
  })
  server.on('connection', socket => {
    const onCutOff = (request: CutOffRequest): void => { cutOff.push(request) }
    connection = new ClientConnection({ socket, clock: systemClock, arrivals, onCutOff, onAnswerCutOff: () => {} })
  })
  Object.assign(server, { httpAllowHalfOpen: true })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  t.teardown(() => { server.close() })

  t.test('behind a response that closes it', async t => {
    const client = new RawClient(address).send(request('/close') + request('/kept') + request('/x'))
    await waitUntil(() => cutOff.length === 2)
    t.match(cutOff.splice(0), [
      { requestId: '/kept', reason: 'response-closed', wasPassedOn: false },
      { requestId: '/x', reason: 'response-closed', wasPassedOn: true }
    ])
    client.close()
  })

  t.test('by a failure', async t => {
    const client = new RawClient(address).send(request('/fail'))
    await waitUntil(() => cutOff.length === 1)
    t.match(cutOff.splice(0), [{ requestId: '/fail', reason: 'failure', wasPassedOn: true }])
    client.close()
  })

  t.test('but none when the client left', async t => {
    const client = new RawClient(address).send(request('/x'))
    await waitUntil(() => connection?.requestCount === 1)
    const left = connection!
    client.close()
    await waitUntil(() => left.requestCount === 0)
    t.same([left.requestCount, cutOff], [0, []])
  })
})
