import { Agent, request as sendRequest } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

const serviceMs = 200
const intervalMs = 10
const clientCount = 4

interface Outcome {
  readonly id: string
  /** Undefined when the connection ended without a complete answer. */
  readonly status: number | undefined
}

t.test('guards against late requests that a planned stop cuts off at its end', { timeout: 30_000 }, async t => {
  for (const isKept of [true, false]) {
    const fleet = await new GatewayTestHarness().start()
    const runs = new Set<string>()
    const upstream = await new UpstreamStandIn('i-a', (request, socket) => {
      runs.add(request.headers['x-request-id']!)
      setTimeout(() => { socket.write(buildStandInAnswer(request)) }, serviceMs)
    }).start()
    fleet.addUpstream(upstream, 'shop')
    const version = fleet.writeConfiguration({
      services: [{ name: 'shop', connectionLimit: 200 }],
      routes: [{ pathPrefix: '/order/', service: 'shop', kind: 'unsafe' }]
    })
    await fleet.waitForLogLine('configuration in force', `"version":${version}`)
    await fleet.waitForLogLine('upstream added', 'i-a')
    const agents = Array.from({ length: clientCount * 25 }, () => new Agent({ keepAlive: true, maxSockets: 1 }))
    const [host, port] = fleet.settings.clientAddress.split(':')
    const outcomes: Outcome[] = []
    const send = async (id: string, agent: Agent | false): Promise<void> => {
      const status = await new Promise<number | undefined>(resolve => {
        const request = sendRequest({
          host,
          port,
          agent,
          method: 'POST',
          path: '/order/x',
          headers: { host: 'shop.example', 'x-request-id': id, 'x-time-remaining': '2000' }
        }, response => {
          response.resume()
          response.on('close', () => { resolve(response.complete ? response.statusCode : undefined) })
        })
        request.on('error', () => { resolve(undefined) })
        request.end()
      })
      outcomes.push({ id, status })
    }
    for (const [i, agent] of agents.entries()) await Promise.race([send(`warm-${i}`, agent), delay(intervalMs)])
    await delay(2 * serviceMs)
    const stopped = new AbortController()
    const pending: Array<Promise<void>> = []
    const load = async (): Promise<void> => {
      for (let i = 0; !stopped.signal.aborted; i++, await delay(intervalMs)) {
        for (let k = 0; k < clientCount; k++) {
          const agent = isKept ? agents[(i * clientCount + k) % agents.length]! : false
          pending.push(send(`late-${i}-${k}`, agent))
        }
      }
    }
    const loading = load()
    await delay(100)
    fleet.host.drain()
    await fleet.host.waitUntilStopped()
    stopped.abort()
    await loading
    for (const agent of agents) agent.destroy()
    await Promise.all(pending)
    const wasRun = ({ id }: Outcome): boolean => runs.has(id)
    const kind = isKept ? 'kept connections' : 'new connections'
    const unanswered = outcomes.filter(outcome => outcome.status === undefined && wasRun(outcome))
    t.same(unanswered, [], `${kind}: requests that ran without an answer`)
    const givenUp = outcomes.filter(({ status }) => status === 504 || status === 502)
    t.same(givenUp, [], `${kind}: requests that were taken and then given up`)
    const refusedRuns = outcomes.filter(outcome => outcome.status === 503 && wasRun(outcome))
    t.same(refusedRuns, [], `${kind}: refused requests that ran`)
    t.ok(outcomes.some(({ id, status }) => id.startsWith('late') && status === 200), `${kind}: early ones are served`)
    t.ok(outcomes.some(({ status }) => status === 503), `${kind}: late ones are refused`)
    upstream.stop()
    fleet.store.stop()
  }
})
