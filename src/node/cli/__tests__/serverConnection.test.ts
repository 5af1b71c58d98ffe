import t from 'tap'
import { endlessAnswers } from '../../../../playground/platform/endlessAnswers.js'
import { sendEndlessAnswer } from '../../../../playground/platform/sendEndlessAnswer.js'
import { ServerConnection } from '../serverConnection.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import type { Socket } from 'node:net'
import type { StandInRequest } from '../../../../playground/platform/standInRequest.js'

const responseTimeoutMs = 500
const head = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'

async function openConnection (
  t: { teardown: (run: () => unknown) => unknown },
  answer: (request: StandInRequest, socket: Socket) => void
): Promise<ServerConnection> {
  const server = await new UpstreamStandIn('i-server', answer).start()
  t.teardown(() => { server.stop() })
  return new ServerConnection(server.address, 'token', responseTimeoutMs)
}

for (const [name, answer] of Object.entries(endlessAnswers)) {
  t.test(`guards against ${name} without end for which a command waits`, { timeout: 10_000 }, async t => {
    const connection = await openConnection(t, (request, socket) => { sendEndlessAnswer(socket, request, answer) })
    await t.rejects(connection.send('/admin/v1/contracts'), { code: 'server_unreachable' })
  })
}

t.test('guards against a response that trickles for which a command waits', { timeout: 10_000 }, async t => {
  const connection = await openConnection(t, (_, socket) => {
    socket.write(head)
    const timer = setInterval(() => { socket.write(' ') }, 20)
    socket.once('close', () => { clearInterval(timer) })
  })
  await t.rejects(connection.send('/admin/v1/contracts'), { code: 'server_unreachable' })
})

t.test('guards against interim responses or a line without end that a watch reads', { timeout: 10_000 }, async t => {
  const shapes = [endlessAnswers['interim responses']!, { start: () => head, rest: 'x'.repeat(16_384) }]
  for (const shape of shapes) {
    const connection = await openConnection(t, (request, socket) => { sendEndlessAnswer(socket, request, shape) })
    const lines = connection.openJsonLines('/admin/v1/contracts/watch', 5000, new AbortController().signal)
    await t.rejects(lines.next())
  }
})
