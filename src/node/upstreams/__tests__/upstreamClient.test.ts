import t from 'tap'
import { createAnswerMemory } from '../../../../playground/fakes/createAnswerMemory.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import { UpstreamClient } from '../upstreamClient.js'
import type { Test } from 'tap'
import type { UpstreamError } from '../upstreamError.js'

const call = { method: 'POST', path: '/v1/x', body: '{}' } as const

async function openClient (t: Test, answer: UpstreamStandIn['answer'], maxConnections?: number, memoryBytes?: number) {
  const upstream = await new UpstreamStandIn('i-a', answer).start()
  const client = new UpstreamClient({
    upstreamId: 'i-a',
    address: upstream.address,
    maxConnections,
    answerMemory: createAnswerMemory(memoryBytes)
  })
  t.teardown(() => {
    client.close()
    upstream.stop()
  })
  const send = async (options = {}, signal?: AbortSignal): Promise<string> => {
    const sent = client.send({ ...call, ...options }, signal)
    return await sent.then(({ status }) => String(status), ({ code, ran }: UpstreamError) => `${code} ${ran}`)
  }
  return { upstream, client, send }
}

t.test('guards against calls that fail because the connection of the call before them is closing', async t => {
  const { send } = await openClient(t, (_, socket) => { socket.end('HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok') })
  for (let i = 0; i < 20; i++) t.equal(await send(), '200')
})

t.test('a call that may not be sent any more reaches no upstream', async t => {
  const { send, upstream } = await openClient(t, () => {})
  t.equal(await send({ freshConnection: true, isSendable: () => false }), 'upstream_not_sent not_run')
  t.equal(await send({ isSendable: () => false }), 'upstream_not_sent not_run')
  t.same(upstream.requests, [])
})

t.test('guards against cancelled calls that keep a place or a connection', async t => {
  let openConnections = 0
  const { send, client } = await openClient(t, (_, socket) => {
    openConnections++
    socket.once('close', () => { openConnections-- })
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
  }, 1)
  const controller = new AbortController()
  const first = send({}, controller.signal)
  await waitUntil(() => openConnections === 1)
  t.equal(await send(), 'upstream_busy not_run')
  controller.abort()
  t.equal(await first, 'upstream_cancelled unknown')
  await waitUntil(() => openConnections === 0)
  const second = send()
  await waitUntil(() => openConnections === 1)
  client.close()
  t.equal(await second, 'upstream_cancelled unknown')
  await waitUntil(() => openConnections === 0)
  t.equal(await send(), 'upstream_refused not_run')
})

t.test('guards against answers that together hold more than the memory for answers', async t => {
  const part = 'x'.repeat(60_000)
  const head = `HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n${part}`
  let finish = (): void => {}
  const { client, upstream } = await openClient(t, (_, socket) => {
    socket.write(head)
    finish = () => { socket.write('x'.repeat(20_000)) }
  }, 4, 100_000)
  const outcomes: string[] = []
  const send = async (): Promise<void> => {
    outcomes.push(await client.send(call).then(({ body }) => String(body.length), (error: Error) => error.message))
  }
  const sent = [send(), send()]
  await waitUntil(() => outcomes.length === 1)
  t.same(outcomes, ['the memory for answers is used up'])
  t.equal(upstream.requests.length, 2)
  sent.push(send())
  await waitUntil(() => outcomes.length === 2)
  finish()
  await Promise.all(sent)
  t.same(outcomes, ['the memory for answers is used up', 'the memory for answers is used up', '80000'])
})

t.test('guards against answers with a stated length that pass for answers without end', async t => {
  const part = 'x'.repeat(60_000)
  const heads = { 'Content-Length: 80000': false, 'Content-Length: 80000000': true, 'Connection: close': true }
  for (const [field, isProtocolError] of Object.entries(heads)) {
    const { client } = await openClient(t, (_, socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${field}\r\n\r\n${part}`)
    }, 4, 100_000)
    const failure = await Promise.race([client.send(call), client.send(call)]).catch((error: UpstreamError) => error)
    t.match(failure, { message: 'the memory for answers is used up', isProtocolError }, field)
  }
})
