import { setTimeout as delay } from 'node:timers/promises'
import type { ClientCrowd } from './clientCrowd.js'
import type { CrowdClient } from './crowdClient.js'

/** Largest body that the settings of the tests permit. */
const bodyBytes = 1_048_576
const pieceBytes = 16_384
const body = Buffer.alloc(bodyBytes, 'x')
const piece = body.subarray(0, pieceBytes)
const chunk = Buffer.concat([Buffer.from(`${pieceBytes.toString(16)}\r\n`), piece, Buffer.from('\r\n')])
const shortFields = Array.from({ length: 1200 }, (_, i) => `a${i}: h\r\n`).join('')
const longField = `x-filler: ${'h'.repeat(15_000)}\r\n`
/** Bytes of short requests that one client sends ahead, if its connection takes them. */
const aheadBytes = 4_194_304

let requestCount = 0

/** Builds a request head; `fields` are whole lines. */
function buildHead ({ path, fields: ownFields }: CrowdClient, method: string, fields = ''): string {
  const fixed = `host: shop.example\r\nx-request-id: crowd-${++requestCount}\r\nx-time-remaining: 30000\r\n`
  return `${method} ${path} HTTP/1.1\r\n${fixed}${ownFields}${fields}\r\n`
}

function * listPieces (bytes: Buffer): Iterable<Buffer> {
  for (let start = 0; start < bytes.length; start += pieceBytes) yield bytes.subarray(start, start + pieceBytes)
}

/** The crowds of docs/design/hard-load.md, part 3. Their sizes are fixed; do not reduce them to make a test pass. */
export const clientCrowds: readonly ClientCrowd[] = [
  {
    name: 'bodies in one piece that stop a byte short',
    count: 100,
    run: async client => {
      client.send(buildHead(client, 'POST', `content-length: ${bodyBytes}\r\n`))
      await client.sendPieces([body.subarray(1)], 0)
    }
  },
  {
    name: 'bodies in small pieces that stop a byte short',
    count: 100,
    run: async client => {
      client.send(buildHead(client, 'POST', `content-length: ${bodyBytes}\r\n`))
      await client.sendPieces(listPieces(body.subarray(1)), 10)
    }
  },
  {
    name: 'bodies in chunks that stop a byte short',
    count: 100,
    run: async client => {
      client.send(buildHead(client, 'POST', 'transfer-encoding: chunked\r\n'))
      const chunks = Array.from({ length: bodyBytes / pieceBytes }, () => chunk)
      await client.sendPieces([...chunks, '0\r\n\r'], 0)
    }
  },
  {
    name: 'bodies far over the limit',
    count: 60,
    run: async (client, index) => {
      const isChunked = index % 2 === 0
      client.send(buildHead(client, 'POST', isChunked ? 'transfer-encoding: chunked\r\n' : 'content-length: 67108864\r\n'))
      await client.sendPieces(Array.from({ length: 4 * bodyBytes / pieceBytes }, () => isChunked ? chunk : piece), 0)
    }
  },
  {
    name: 'heads of very many short fields',
    count: 60,
    run: async client => {
      client.read()
      await client.sendPieces(Array.from({ length: 20 }, () => buildHead(client, 'GET', shortFields)), 0)
    }
  },
  {
    name: 'long requests ahead with answers unread',
    count: 60,
    isSlowlyAnswered: true,
    run: async (client, index) => {
      // Short heads take what long ones leave of a bound.
      const fields = index < 40 ? longField : ''
      await client.sendPieces(Array.from({ length: 20 }, () => buildHead(client, 'GET', fields)), 0)
    }
  },
  {
    name: 'short requests ahead with answers unread',
    count: 40,
    run: async client => {
      const heads = Array.from({ length: 100 }, () => buildHead(client, 'GET')).join('')
      await client.sendPieces(Array.from({ length: Math.ceil(aheadBytes / heads.length) }, () => heads), 0)
    }
  },
  {
    name: 'slow senders of heads',
    count: 150,
    run: async client => {
      client.read()
      client.send(buildHead(client, 'GET').slice(0, -2))
      client.sendSlowly('a: b\r\n', 50)
    }
  },
  {
    name: 'slow senders of bodies',
    count: 150,
    run: async client => {
      client.read()
      client.send(buildHead(client, 'POST', `content-length: ${bodyBytes}\r\n`))
      client.sendSlowly('x', 50)
    }
  },
  {
    name: 'slow readers',
    count: 150,
    run: async (client, index) => {
      client.send(buildHead(client, 'GET'))
      if (index % 2 === 0) client.readSlowly(16, 100)
    }
  },
  {
    name: 'half-way stops',
    count: 150,
    run: async (client, index) => {
      const head = buildHead(client, 'POST', `content-length: ${bodyBytes}\r\n`)
      const starts = [head.slice(0, head.length / 2), head, head + 'x'.repeat(bodyBytes / 8), buildHead(client, 'GET')]
      client.send(starts[index % starts.length]!)
      await delay(200)
      const stop = Math.floor(index / starts.length) % 3
      if (stop === 1) client.endSending()
      if (stop === 2) client.close()
    }
  }
]
