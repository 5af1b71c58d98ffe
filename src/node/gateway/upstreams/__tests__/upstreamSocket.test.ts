import t from 'tap'
import { OversizedAnswerError } from '../oversizedAnswerError.js'
import { parseAnswer } from '../../../../../playground/platform/parseAnswer.js'
import { UpstreamSocket } from '../upstreamSocket.js'
import { upstreamConstants } from '../constants.js'

const { maxFramingLines, maxParsedHeaderBytes, parsedPieceBytes } = upstreamConstants
const lines = (count: number): string => 'a:b\r\n'.repeat(count)
const longLines = (count: number): string => `a:${'b'.repeat(50)}\r\n`.repeat(count)
const body = '\n'.repeat(2 * parsedPieceBytes)

const parse = async (answer: string): ReturnType<typeof parseAnswer> => {
  const socket = new UpstreamSocket()
  return await parseAnswer(`HTTP/1.1 200 OK\r\n${answer}`, {
    socket,
    maxHeaderSize: maxParsedHeaderBytes,
    onProgress: () => { socket.onProgress() }
  })
}

t.test('guards against short header lines that take many times their size in memory', async t => {
  const starts = {
    'a head': '',
    trailers: 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'
  }
  for (const [name, start] of Object.entries(starts)) {
    const { failure, parsedBytes } = await parse(start + lines(8000))
    t.ok(failure instanceof OversizedAnswerError, `${name}: ${String(failure)}`)
    t.ok(parsedBytes <= 2 * parsedPieceBytes, `${name}: ${parsedBytes} bytes were parsed`)
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
    const { failure } = await parse(answer)
    t.equal(failure, undefined, name)
  }
})
