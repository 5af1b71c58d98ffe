import t from 'tap'
import { Client } from 'undici'
import { PieceSocket } from '../pieceSocket.js'
import { UpstreamStandIn } from '../../../../../playground/platform/upstreamStandIn.js'
import { upstreamConstants } from '../constants.js'

const headerLines = 'a:b\r\n'.repeat(40_000)

t.test('guards against a parser that goes on with header lines after it has closed the connection', async t => {
  const upstream = await new UpstreamStandIn('i-a', (_, socket) => { socket.write(`HTTP/1.1 200 OK\r\n${headerLines}`) }).start()
  t.teardown(() => { upstream.stop() })
  let parsedBytes = 0
  let largestPiece = 0
  class CountingSocket extends PieceSocket {
    override read (size?: number): Buffer | null {
      const piece = super.read(size)
      parsedBytes += piece?.length ?? 0
      largestPiece = Math.max(largestPiece, piece?.length ?? 0)
      return piece
    }
  }
  const [host, port] = upstream.address.split(':')
  const client = new Client(`http://${upstream.address}`, {
    connect: (_, callback) => {
      const socket = new CountingSocket()
      socket.once('connect', () => { callback(null, socket) })
      socket.connect({ host: host!, port: Number(port) })
    }
  })
  await t.rejects(client.request({ method: 'GET', path: '/' }), { code: 'UND_ERR_HEADERS_OVERFLOW' })
  await client.destroy()
  t.ok(largestPiece <= upstreamConstants.parsedPieceBytes, `pieces of up to ${largestPiece} bytes`)
  // The parser counts two bytes of each line of five, up to 16 KB.
  const limitBytes = 16_384 / 2 * 5 + upstreamConstants.parsedPieceBytes
  t.ok(parsedBytes <= limitBytes, `${parsedBytes} bytes were parsed`)
})
