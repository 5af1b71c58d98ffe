import { createServer } from 'node:http'
import { once } from 'node:events'
import t from 'tap'
import { ArrivalTimes } from '../arrivalTimes.js'
import { ClientConnection } from '../clientConnection.js'
import { RawClient } from '../../../../../playground/platform/rawClient.js'
import { systemClock } from '../../../../shared/systemClock.js'
import { waitUntil } from '../../../../../playground/fakes/waitUntil.js'
import type { AddressInfo, Socket } from 'node:net'

const busyMs = 50
const request = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`

t.test('arrival of requests while the event loop is busy', async t => {
  const connections = new Map<Socket, ClientConnection>()
  const arrivals = new ArrivalTimes({ clock: systemClock, runAfterTurn: setImmediate })
  const arrivedAtMs: number[] = []
  let onBusy = (): void => {}
  let busyFromMs = 0
  const server = createServer((message, response) => {
    const exchange = connections.get(message.socket)!.add(message, response)!
    response.end()
    if (message.url !== '/busy') return arrivedAtMs.push(exchange.arrivedAtMs)
    busyFromMs = performance.now()
    onBusy()
    while (performance.now() < busyFromMs + busyMs);
  })
  server.on('connection', socket => {
    connections.set(socket, new ClientConnection({ socket, clock: systemClock, arrivals, onCutOff: () => {}, onAnswerCutOff: () => {} }))
  })
  Object.assign(server, { httpAllowHalfOpen: true })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  t.teardown(() => { server.close() })

  /** Calls `act` at the start of a busy turn; returns how long after this the requests count as arrived. */
  const runBusy = async (count: number, act: () => void): Promise<readonly number[]> => {
    arrivedAtMs.length = 0
    onBusy = act
    const client = new RawClient(address).send(request('/busy'))
    await waitUntil(() => arrivedAtMs.length === count)
    client.close()
    return arrivedAtMs.map(arrivedMs => arrivedMs - busyFromMs)
  }

  t.test('guards against a deadline that ignores how long a request on a kept connection was not read', async t => {
    const client = new RawClient(address).send(request('/first'))
    await waitUntil(() => arrivedAtMs.length === 1)
    const [afterMs = Infinity] = await runBusy(1, () => { client.send(request('/kept')) })
    t.ok(afterMs < busyMs, `${afterMs} ms after the busy turn began`)
    client.close()
  })

  t.test('guards against a deadline that ignores how long a connection was not accepted', async t => {
    const clients: RawClient[] = []
    const afterMs = await runBusy(5, () => {
      for (let i = 0; i < 5; i++) clients.push(new RawClient(address).send(request(`/${i}`)))
    })
    t.ok(Math.max(...afterMs) < busyMs, `${afterMs.join(', ')} ms after the busy turn began`)
    for (const client of clients) client.close()
  })
})
