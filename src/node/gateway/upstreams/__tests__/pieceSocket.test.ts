import t from 'tap'
import { parseAnswer } from '../../../../../playground/platform/parseAnswer.js'
import { PieceSocket } from '../pieceSocket.js'
import { upstreamConstants } from '../constants.js'

const headerLines = 'a:b\r\n'.repeat(40_000)

t.test('guards against a parser that goes on with header lines after it has closed the connection', async t => {
  const outcome = await parseAnswer(`HTTP/1.1 200 OK\r\n${headerLines}`, { socket: new PieceSocket() })
  const { failure, parsedBytes, largestPieceBytes } = outcome
  t.match(failure, { code: 'UND_ERR_HEADERS_OVERFLOW' })
  t.ok(largestPieceBytes <= upstreamConstants.parsedPieceBytes, `pieces of up to ${largestPieceBytes} bytes`)
  // The parser counts two bytes of each line of five, up to 16 KB.
  const limitBytes = 16_384 / 2 * 5 + upstreamConstants.parsedPieceBytes
  t.ok(parsedBytes <= limitBytes, `${parsedBytes} bytes were parsed`)
})
