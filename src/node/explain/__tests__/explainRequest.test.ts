import t from 'tap'
import { explainRequest } from '../explainRequest.js'

const line = (ms: number, message: string, fields: Record<string, unknown> = {}) => JSON.stringify({ level: 'info', time: new Date(1_000_000 + ms).toISOString(), host: 'h1', message, requestId: 'r1', ...fields })

t.test('log lines of several hosts are merged into one timeline with the cause of the end', async t => {
  const text = [
    line(40, 'attempt ended', { upstream: 'i-1', service: 's', attempt: 1, result: 'uncertain', reason: 'broken: other side closed', action: 'fail', elapsedMs: 40 }),
    'foreign line about r1',
    line(0, 'stages accepted', { host: 'h2', isLate: false, expectedMs: 20 }),
    line(3, 'other request', { requestId: 'r11' }),
    line(5, 'stage call failed', { requestId: undefined, firstRequestId: 'r1', reason: 'status 503' }),
    line(30, 'first event').slice(0, 60)
  ].map(row => `  0.1 h1 ${row}`).join('\n')
  t.matchSnapshot(explainRequest('r1', text))
})

t.test('each way in which a request ends has its own cause text', async t => {
  const causes = [
    line(0, 'stages refused', { reason: 'stage queues are too long', expectedMs: 2000, marginMs: 100, aimLeftMs: 1900, queues: 'a=1+2/0of4' }) + '\n' + line(1, 'request refused', { reason: 'stage queues are too long' }),
    line(0, 'request rejected', { status: 404, reason: 'no route for x', configurationVersion: 7 }),
    line(0, 'request timed out', { mayHaveRun: true, sentCount: 1 }),
    line(0, 'request timed out', { mayHaveRun: false, sentCount: 0 }),
    line(0, 'client left', { elapsedMs: 7 }),
    line(0, 'attempt ended', { upstream: 'i', service: 's', result: 'streamed', longestPauseMs: 500, action: 'finish' }),
    line(0, 'attempt ended', { upstream: 'i', service: 's', result: 'answer', status: 500, action: 'deliver' }),
    line(0, 'attempt ended', { upstream: 'i', service: 's', result: 'uncertain', reason: 'stalled: no complete event for 2001 ms, 7 bytes of one', action: 'fail' }),
    line(0, 'attempt ended', { upstream: 'i', service: 's', result: 'uncertain', reason: 'unfinished event of more than 262144 bytes', action: 'fail' }),
    line(0, 'attempt ended', { upstream: 'i', service: 's', result: 'uncertain', reason: 'foreign-answer: answer to an unnamed request', action: 'fail' }),
    line(0, 'attempt ended', { upstream: 'i', service: 's', result: 'uncertain', action: 'fail' }) + '\n' + line(1, 'response broken off', { reason: 'broken: reset before the end of the answer', forwardedBytes: 900 }),
    line(0, 'answer cut off', { reason: 'host-stopped', unsentBytes: 900, answerBytes: 1000 }),
    line(0, 'request cut off', { reason: 'failure', wasPassedOn: true, elapsedMs: 7 }),
    line(0, 'request cut off', { reason: 'response-closed', wasPassedOn: false, elapsedMs: 7 }),
    line(0, 'first event'),
    line(0, 'stages accepted')
  ].map(text => explainRequest('r1', text).cause)
  t.matchSnapshot(causes.join('\n'))
  t.same(explainRequest('none', line(0, 'x')), { timeline: [], cause: undefined, unreadableCount: 0 })
})
