import { once } from 'node:events'
import { createServer, request as openRequest } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as waitTime } from 'node:timers/promises'
import t from 'tap'
import type { Test } from 'tap'
import { RequestEntry } from '../../requests/requestEntry.js'
import { serverConstants } from '../constants.js'
import { FlushScheduler } from '../flushScheduler.js'
import { SseWriter } from '../sseWriter.js'

async function openWriter (t: Test, entry: RequestEntry) {
  const responses: ServerResponse[] = []
  const server = createServer((_, response) => {
    responses.push(response)
    new SseWriter(response, entry, new FlushScheduler(3, 40), undefined).start()
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const call = openRequest({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false }).end()
  t.teardown(() => {
    call.destroy()
    server.close()
    server.closeAllConnections()
  })
  const opened = once(call, 'response')
  await once(server, 'request')
  return { response: responses[0]!, opened }
}

t.test('a slow caller falls behind in the log with a bounded buffer and still gets the complete answer', async t => {
  const entry = new RequestEntry({ account: 'pier', requestId: 'r', bodyHash: 'h' })
  const { response, opened } = await openWriter(t, entry)
  entry.log.startGeneration(1)
  entry.log.addTokens(['"first"'])
  const [incoming] = await opened as [IncomingMessage]
  incoming.pause()
  const literal = JSON.stringify('x'.repeat(200))
  let largest = 0
  // The answer is larger than the kernel's buffers of a connection.
  entry.log.addTokens(new Array<string>(120_000).fill(literal))
  entry.close({ kind: 'done', tokenCount: 120_001, result: {} })
  for (let round = 0; round < 100 && largest < serverConstants.maxBufferedBytes; round++) {
    await waitTime(5)
    largest = Math.max(largest, response.writableLength)
  }
  t.ok(largest >= serverConstants.maxBufferedBytes, 'the connection was full')
  t.ok(largest < serverConstants.maxBufferedBytes + 2 * serverConstants.maxTokensPerEvent * literal.length, `buffered ${largest} bytes`)
  let text = ''
  for await (const chunk of incoming.setEncoding('utf8')) text += chunk
  t.equal(text.split(literal).length - 1, 120_000)
  t.match(text, /"tokenCount":120001/)
})

t.test('tokens that arrive close together are sent as one event', async t => {
  const entry = new RequestEntry({ account: 'pier', requestId: 'r', bodyHash: 'h' })
  const { opened } = await openWriter(t, entry)
  entry.log.startGeneration(1)
  for (const token of ['"a"', '"b"', '"c"']) entry.log.addTokens([token])
  entry.close({ kind: 'done', tokenCount: 3, result: {} })
  const [incoming] = await opened as [IncomingMessage]
  let text = ''
  for await (const chunk of incoming.setEncoding('utf8')) text += chunk
  t.matchSnapshot(text)
})

t.test('an idle stream sends comment lines, so that a caller can detect a broken connection', async t => {
  const entry = new RequestEntry({ account: 'pier', requestId: 'r', bodyHash: 'h' })
  const { opened } = await openWriter(t, entry)
  const [incoming] = await opened as [IncomingMessage]
  const [chunk] = await once(incoming.setEncoding('utf8'), 'data') as [string]
  t.match(chunk, /^: keepalive\n\n/)
  entry.close({ kind: 'error', code: 'late', message: 'm', ran: 'unknown', httpStatus: 500 })
  const [end] = await once(incoming, 'data') as [string]
  t.match(end, /^event: error\ndata: \{"error":\{"code":"late"/)
})
