import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { endlessAnswers } from '../../../../playground/platform/endlessAnswers.js'
import { ProcessGauge } from '../../../../playground/platform/processGauge.js'
import { sendEndlessAnswer } from '../../../../playground/platform/sendEndlessAnswer.js'
import { ServedHost } from '../../../../playground/platform/servedHost.js'
import type { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

interface Outcome {
  readonly status: number
  readonly elapsedMs: number
}

const memoryMb = 210
const callerCount = 64
/** Keeps the callers within the rate of their contract. */
const callerPauseMs = callerCount * 2
const playMs = 2500
/** Time within which a fault that the answer shows is reported, long before the deadline of its request. */
const faultLimitMs = 3000
/** The deadline of the kind `raw` and a margin for a busy process. */
const silenceLimitMs = 5000
const soundLimitMs = 2000
const recoveryLimitMs = 2000
const largePartBytes = 3_700_000
const largePart = [
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
  `${largePartBytes.toString(16)}\r\n${'x'.repeat(largePartBytes)}\r\n`
].join('')
const silence = 'a large part of a body, then silence'
/** Calls sent before the first answers show the fault, each twice at most, and some after a pause. */
const maxFaultyCalls = 2 * callerCount + 16
const sendEndless = (name: string): UpstreamStandIn['answer'] =>
  (request, socket) => { sendEndlessAnswer(socket, request, endlessAnswers[name]!) }
const answers: Readonly<Record<string, UpstreamStandIn['answer']>> = {
  'a status line without end': sendEndless('a status line'),
  'interim responses without end': sendEndless('interim responses'),
  'a header without end': sendEndless('a header'),
  'short header lines without end': sendEndless('short header lines'),
  'a chunk extension without end': sendEndless('a chunk extension'),
  'trailers without end': sendEndless('trailers'),
  'bytes that are no answer': sendEndless('bytes that are no answer'),
  'a body in chunks without end': sendEndless('an unsigned body'),
  'a body without a stated end': sendEndless('a signed body without a stated end'),
  [silence]: (_, socket) => { socket.write(largePart) }
}

t.test('answers without end at the serve command', { timeout: 115_000 }, async t => {
  const served = await new ServedHost().start()
  t.teardown(async () => { await served.stop() })
  const { raw, host } = served
  const soundAnswer = raw.answer
  let requestCount = 0

  /** Sends one request; its status is 0 when it has no answer in time. */
  const send = async (kind: string, limitMs: number): Promise<Outcome> => {
    const startMs = performance.now()
    const answer = served.sendRequest(kind, `request-${++requestCount}`).then(({ status }) => status, () => 0)
    const status = await Promise.race([answer, delay(limitMs, 0, { ref: false })])
    return { status, elapsedMs: performance.now() - startMs }
  }
  const sendUntil = async (
    endMs: number,
    kind: string,
    limitMs: number,
    pauseMs: number
  ): Promise<readonly Outcome[]> => {
    const outcomes: Outcome[] = []
    while (performance.now() < endMs) {
      outcomes.push(await send(kind, limitMs))
      await delay(pauseMs)
    }
    return outcomes
  }

  for (const [name, answer] of Object.entries(answers)) {
    t.test(`guards against ${name} that fills the process or leaves callers without an answer`, async t => {
      await served.startAgain()
      raw.answer = answer
      raw.requests.length = 0
      const gauge = new ProcessGauge(host.process.pid!)
      t.teardown(() => { gauge.stop() })
      const endMs = performance.now() + playMs
      const [kind, limitMs] = name === silence ? ['raw', silenceLimitMs] as const : ['rawSlow', faultLimitMs] as const
      const [sound, ...faulty] = await Promise.all([
        sendUntil(endMs, 'status', soundLimitMs, 50),
        ...Array.from({ length: callerCount }, async () => {
          return await sendUntil(endMs, kind, limitMs, callerPauseMs)
        })
      ])
      const faultyCalls = raw.requests.filter(({ method }) => method === 'POST').length
      const peakMb = gauge.readPeakMb()
      raw.answer = soundAnswer
      const wellMs = performance.now()
      let last = await send('raw', recoveryLimitMs)
      while (last.status !== 200 && performance.now() < wellMs + 20_000) {
        await delay(50)
        last = await send('raw', recoveryLimitMs)
      }
      const recoveryMs = Math.round(performance.now() - wellMs)
      const statuses = faulty.flat().map(({ status }) => status)
      const unanswered = statuses.filter(status => ![502, 503, 504].includes(status))
      const unserved = sound!.filter(({ status }) => status !== 200)
      const longestMs = Math.round(Math.max(...faulty.flat().map(({ elapsedMs }) => elapsedMs)))
      const counts = { faultyCalls, calls: statuses.length, unanswered: unanswered.length, sound: sound!.length }
      t.comment(JSON.stringify({ name, peakMb, longestMs, recoveryMs, ...counts }))
      t.ok(host.process.isRunning, 'the process runs on')
      t.ok(peakMb < memoryMb, `${peakMb} MB`)
      t.same(unanswered, [], `all ${statuses.length} callers of the faulty service have an answer`)
      t.same(unserved, [], `all ${sound!.length} requests of the sound service are served`)
      // Silence breaks no protocol, so the upstream is not paused.
      if (name !== silence) t.ok(faultyCalls <= maxFaultyCalls, `${faultyCalls} calls reached the faulty upstream`)
      t.ok(recoveryMs < recoveryLimitMs, `an ordinary request is answered ${recoveryMs} ms after the upstream is well`)
    })
  }
})
