import t from 'tap'
import { Client } from 'undici'
import { OversizedAnswerError } from '../oversizedAnswerError.js'
import { UpstreamSocket } from '../upstreamSocket.js'
import type { Test } from 'tap'
import { UpstreamStandIn } from '../../../../../playground/platform/upstreamStandIn.js'
import { upstreamConstants } from '../constants.js'

const { maxFramingLines, parsedPieceBytes } = upstreamConstants
const lines = (count: number): string => 'a:b\r\n'.repeat(count)
const longLines = (count: number): string => `a:${'b'.repeat(50)}\r\n`.repeat(count)
const body = '\n'.repeat(2 * parsedPieceBytes)

class CountingSocket extends UpstreamSocket {
  parsedBytes = 0

  override read (size?: number): Buffer | null {
    const piece = super.read(size)
    this.parsedBytes += piece?.length ?? 0
    return piece
  }
}

interface Outcome {
  readonly failure: unknown
  readonly socket: CountingSocket
}

async function sendRequest (t: Test, answer: string): Promise<Outcome> {
  const upstream = await new UpstreamStandIn('i-a', (_, socket) => { socket.write(answer) }).start()
  const [host, port] = upstream.address.split(':')
  const socket = new CountingSocket()
  const client = new Client(`http://${upstream.address}`, {
    maxHeaderSize: upstreamConstants.maxParsedHeaderBytes,
    connect: (_, callback) => {
      socket.once('connect', () => { callback(null, socket) })
      socket.connect({ host: host!, port: Number(port) })
    }
  })
  t.teardown(async () => {
    await client.destroy()
    upstream.stop()
  })
  const failure = await new Promise<unknown>(resolve => {
    client.dispatch({ method: 'GET', path: '/' }, {
      onRequestStart: () => {},
      onResponseStart: () => { socket.onProgress() },
      onResponseData: () => { socket.onProgress() },
      onResponseEnd: () => { resolve(undefined) },
      onResponseError: (_, error) => { resolve(error) }
    })
  })
  return { failure, socket }
}

t.test('guards against short header lines that take many times their size in memory', async t => {
  const starts = {
    'a head': 'HTTP/1.1 200 OK\r\n',
    trailers: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'
  }
  for (const [name, start] of Object.entries(starts)) {
    const { failure, socket } = await sendRequest(t, start + lines(8000))
    t.ok(failure instanceof OversizedAnswerError, `${name}: ${String(failure)}`)
    t.ok(socket.parsedBytes <= 2 * parsedPieceBytes, `${name}: ${socket.parsedBytes} bytes were parsed`)
  }
})

t.test('guards against an end of sound answers with many lines', async t => {
  const chunks = '1\r\n\n\r\n'.repeat(4000)
  const answers = {
    'a head of as many lines as allowed': `${longLines(maxFramingLines - 3)}Content-Length: 0\r\n\r\n`,
    'a body of lines': `Content-Length: ${body.length}\r\n\r\n${body}`,
    'lines of one chunk each': `Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`
  }
  for (const [name, answer] of Object.entries(answers)) {
    const { failure } = await sendRequest(t, `HTTP/1.1 200 OK\r\n${answer}`)
    t.equal(failure, undefined, name)
  }
})
