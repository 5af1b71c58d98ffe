import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { clientCrowds } from '../../../../playground/platform/clientCrowds.js'
import { FloodedHost } from '../../../../playground/platform/floodedHost.js'
import { runCrowdTrial } from '../../../../playground/platform/runCrowdTrial.js'
import { sendClientRequest } from '../../../../playground/platform/sendClientRequest.js'

interface CrowdTestOptions {
  /** Kind of path to which the crowds send. */
  readonly kind: string
  readonly port: number
  readonly path: string
  /** Path whose answer takes longer than a test. @default path */
  readonly slowPath?: string
  /** Path at the same address that answers 200 to an ordinary request. */
  readonly ordinaryPath: string
}

/** Third byte of the host's loopback addresses; 249 to 255 are used by other tests. */
const network = 248
const memoryMb = 210
const fileDescriptors = 200
const largeAnswer = 'a'.repeat(1_048_576)
const routeDefaults = { host: 'shop.example', kind: 'safe', timeoutMs: 30_000, targetLatencyMs: 500, priority: 1, maxAttempts: 2 }
const route = { ...routeDefaults, name: 'r', pathPrefix: '/shop/', service: 'shop' }
/** A part of the same route's paths with an upstream of its own, so that crowds do not use up its connections. */
const calmRoute = { ...route, pathPrefix: '/shop/calm/', service: 'calm' }
const answers: Readonly<Record<string, { readonly text: string, readonly delayMs: number }>> = {
  '/shop/large': { text: largeAnswer, delayMs: 300 },
  '/shop/calm/slow': { text: 'ok', delayMs: 25_000 }
}

/** Tests a host process with each crowd at one kind of path. */
export function runCrowdTests ({ kind, port, path, slowPath = path, ordinaryPath }: CrowdTestOptions): void {
  t.test(`misbehaving clients at ${kind}`, { timeout: 115_000 }, async t => {
    const flooded = await new FloodedHost({
      network,
      memoryMb,
      fileDescriptors,
      connectionLimits: { shop: 40, calm: 100 },
      hasTenants: false,
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 3000 },
      routes: [route, calmRoute],
      buildAnswer: requestPath => answers[requestPath] ?? { text: 'ok', delayMs: 20 }
    }).start()
    t.teardown(async () => { await flooded.stop() })
    const { host } = flooded
    const isAnswered = async (answerPort: number, answerPath: string): Promise<boolean> => {
      const sent = sendClientRequest(`${host.ipAddress}:${answerPort}`, 'ordinary', answerPath, { headers: { 'x-time-remaining': '4000' } })
      const answer = sent.then(({ status }) => status, () => undefined)
      return await Promise.race([answer, delay(5000, undefined, { ref: false })]) === 200
    }

    for (const crowd of clientCrowds) {
      t.test(`guards against ${crowd.name} that end the process, fill it or keep it from serving`, async t => {
        await flooded.startAgain()
        const result = await runCrowdTrial({
          crowd,
          address: `${host.ipAddress}:${port}`,
          path: crowd.isSlowlyAnswered === true ? slowPath : path,
          process: host.process,
          sendOrdinary: async () => await isAnswered(7001, '/shop/calm/x') && await isAnswered(port, ordinaryPath)
        })
        t.comment(JSON.stringify(result))
        t.ok(result.isRunning, 'the process runs on')
        t.ok(result.peakMb < memoryMb, `${result.peakMb} MB`)
        t.ok(result.peakDescriptors < fileDescriptors, `${result.peakDescriptors} open descriptors`)
        t.ok(result.isAnswered, 'an ordinary request is answered')
      })
    }
  })
}
