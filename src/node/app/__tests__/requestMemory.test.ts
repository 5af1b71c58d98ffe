import { request as sendRequest } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { FloodedHost } from '../../../../playground/platform/floodedHost.js'
import { sendClientRequest } from '../../../../playground/platform/sendClientRequest.js'

/** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
const network = 253
const memoryMb = 480
const largeBody = Buffer.alloc(4_000_000, 'x')
const clientCount = 300
const routeDefaults = { host: 'shop.example', timeoutMs: 30_000, targetLatencyMs: 500, priority: 1, maxAttempts: 2 }

interface FloodOptions {
  readonly body: Buffer
  /** Time for which each client holds back its last byte. */
  readonly holdMs?: number
  /** Time over which the clients begin. */
  readonly spreadMs?: number
  readonly headers?: Readonly<Record<string, string>>
}

t.test('memory that clients take by requests', { timeout: 110_000 }, async t => {
  const flooded = await new FloodedHost({
    network,
    memoryMb,
    routes: [
      { ...routeDefaults, name: 'upload', pathPrefix: '/upload/', kind: 'unsafe', service: 'shop' },
      { ...routeDefaults, name: 'small', pathPrefix: '/small/', kind: 'safe', service: 'shop' }
    ]
  }).start()
  const { host, address } = flooded
  t.teardown(async () => { await flooded.stop() })

  /** Sends one request of the flooding account; resolves to its status or error. */
  const sendLarge = async (id: string, { body, holdMs = 0, headers = {} }: FloodOptions): Promise<string> => {
    return await new Promise(resolve => {
      const request = sendRequest({
        host: host.ipAddress,
        port: 7001,
        agent: false,
        method: 'POST',
        path: '/upload/x',
        headers: {
          host: 'shop.example',
          'x-request-id': id,
          'x-time-remaining': '30000',
          authorization: 'Token flooding-key',
          'content-length': body.length,
          ...headers
        }
      }, response => {
        response.resume()
        resolve(String(response.statusCode))
      })
      request.on('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? error.message) })
      request.write(body.subarray(0, -1))
      setTimeout(() => { request.end(body.subarray(-1)) }, holdMs)
    })
  }

  /** Floods the host from one account while another one sends small requests. */
  const runFlood = async (count: number, options: FloodOptions) => {
    await flooded.startAgain()
    const startMs = performance.now()
    const idleMb = Math.round(flooded.readPeakMb())
    const outcomes: Record<string, number> = {}
    const flood = Promise.all(Array.from({ length: count }, async (_, i) => {
      await delay((options.spreadMs ?? 0) * i / count)
      const outcome = await sendLarge(`flood-${i}`, options)
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1
    }))
    const controller = new AbortController()
    flood.finally(() => { controller.abort() }).catch(() => {})
    const probes: Array<Promise<{ readonly status: number | string, readonly elapsedMs: number }>> = []
    const probe = async (id: string): Promise<{ readonly status: number | string, readonly elapsedMs: number }> => {
      const sentMs = performance.now()
      const headers = { authorization: 'Token steady-key', 'x-time-remaining': '8000' }
      const answer = await sendClientRequest(address, id, '/small/x', { method: 'POST', headers, body: 'small' })
        .catch(error => ({ status: (error as Error).message }))
      return { status: answer.status, elapsedMs: performance.now() - sentMs }
    }
    while (!controller.signal.aborted) {
      probes.push(probe(`probe-${probes.length}`))
      await delay(50)
    }
    await flood
    const results = await Promise.all(probes)
    const slowest = Math.max(...results.map(({ elapsedMs }) => elapsedMs))
    const isRunning = host.process.isRunning
    const peakMb = flooded.readPeakMb()
    const statuses: Record<string, number> = {}
    for (const { status } of results) statuses[status] = (statuses[status] ?? 0) + 1
    const figures = { idleMb, outcomes, statuses, slowestMs: Math.round(slowest), peakMb: Math.round(peakMb), tookMs: Math.round(performance.now() - startMs) }
    t.comment(JSON.stringify(figures))
    return { ...figures, isRunning }
  }

  t.test('guards against bodies of many clients that take more memory than the machine has', async t => {
    const { statuses, peakMb, outcomes } = await runFlood(clientCount, { body: largeBody })
    t.ok(peakMb < memoryMb, `${peakMb} MB`)
    t.same(Object.keys(statuses), ['200'], 'small requests of another account are served')
    t.ok((outcomes['200'] ?? 0) > 0, 'some of the large requests are served')
    t.same(Object.keys(outcomes).filter(outcome => outcome !== '200' && outcome !== '503'), [])
  })

  t.test('guards against bodies that are held back and take more memory than the machine has', async t => {
    const { statuses, peakMb, outcomes } = await runFlood(clientCount, { body: largeBody, holdMs: 3000 })
    t.ok(peakMb < memoryMb, `${peakMb} MB`)
    t.same(Object.keys(statuses), ['200'], 'small requests of another account are served')
    t.ok((outcomes['200'] ?? 0) > 0, 'some of the large requests are served')
    t.same(Object.keys(outcomes).filter(outcome => outcome !== '200' && outcome !== '503'), [])
  })

  t.test('guards against heads of many requests that fill the heap and end the process', async t => {
    const headers = { 'x-filler': 'h'.repeat(60_000) }
    const { statuses, isRunning, peakMb } = await runFlood(3000, { body: Buffer.from('ab'), headers, holdMs: 3000, spreadMs: 2000 })
    t.ok(isRunning, 'the process runs on')
    t.ok(peakMb < memoryMb, `${peakMb} MB`)
    t.same(Object.keys(statuses), ['200'], 'small requests of another account are served')
  })

  t.test('guards against heads that never end and fill the heap and end the process', async t => {
    flooded.writeConfiguration(2, 16_384)
    await flooded.startAgain()
    const fields = Array.from({ length: 1200 }, (_, i) => `x-field-${i}: ${'h'.repeat(38)}\r\n`).join('')
    const sockets = Array.from({ length: 3000 }, () => connect({ host: host.ipAddress, port: 7001 }).on('error', () => {}))
    for (const [i, socket] of sockets.entries()) {
      socket.write(`GET / HTTP/1.1\r\nhost: shop.example\r\n${fields}`)
      if (i % 200 === 0) await delay(100)
    }
    await delay(500)
    t.ok(host.process.isRunning, 'the process runs on')
    const peakMb = Math.round(flooded.readPeakMb())
    t.comment(JSON.stringify({ peakMb }))
    t.ok(peakMb < memoryMb, `${peakMb} MB`)
    for (const socket of sockets) socket.destroy()
  })
})
