import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { ProcessGauge } from '../../../../playground/platform/processGauge.js'
import { ServedHost } from '../../../../playground/platform/servedHost.js'
import type { Socket } from 'node:net'

const memoryMb = 210
const callerCount = 8
const faultLimitMs = 3000
const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
const text = 'x'.repeat(1000)
const events: Readonly<Record<string, (offset: number) => string>> = {
  'tokens beyond the number asked for': offset => `data: {"o":${offset},"t":"${text}"}\n\n`,
  'the same token': () => `data: {"o":0,"t":"${text}"}\n\n`,
  comments: () => `: ${text}\n\n`
}

/** Writes events until the receiver closes the connection. */
function sendEvents (socket: Socket, buildEvent: (offset: number) => string): void {
  let offset = 0
  const send = (): void => {
    if (socket.destroyed) return
    const block = Array.from({ length: 64 }, () => buildEvent(offset++)).join('')
    if (socket.write(block)) setImmediate(send)
    else socket.once('drain', () => { setImmediate(send) })
  }
  socket.write(head)
  send()
}

t.test('streams of model engines without end', { timeout: 115_000 }, async t => {
  const served = await new ServedHost().start()
  t.teardown(async () => { await served.stop() })
  const { raw, host } = served
  let requestCount = 0
  for (const [name, buildEvent] of Object.entries(events)) {
    t.test(`guards against ${name} without end that fill the process or leave callers without an answer`, async t => {
      await served.startAgain()
      raw.answer = (_, socket) => { sendEvents(socket, buildEvent) }
      const gauge = new ProcessGauge(host.process.pid!)
      t.teardown(() => { gauge.stop() })
      const statuses = await Promise.all(Array.from({ length: callerCount }, async () => {
        const answer = served.sendRequest('generation', `request-${++requestCount}`).then(({ status }) => status, () => 0)
        return await Promise.race([answer, delay(faultLimitMs, 0, { ref: false })])
      }))
      const peakMb = gauge.readPeakMb()
      t.comment(JSON.stringify({ name, peakMb, statuses, requests: raw.requests.length, isRunning: host.process.isRunning }))
      t.ok(host.process.isRunning, 'the process runs on')
      t.ok(peakMb < memoryMb, `${peakMb} MB`)
      t.same(statuses.filter(status => ![502, 503, 504].includes(status)), [], 'all callers have an answer')
    })
  }
})
