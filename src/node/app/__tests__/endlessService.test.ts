import { readFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { endlessAnswers } from '../../../../playground/platform/endlessAnswers.js'
import { sendEndlessAnswer } from '../../../../playground/platform/sendEndlessAnswer.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { sendClientRequest } from '../../../../playground/platform/sendClientRequest.js'
import { SoakHost } from '../../../../playground/soak/soakHost.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'
import type { ClientAnswer } from '../../../../playground/platform/clientAnswer.js'

/** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
const network = 252
/** Memory of the machine: the smaller one of the deployments. */
const memoryMb = 256
const faultyClients = 64
const soundClients = 8
const megabyte = 1_048_576
const playMs = 1500
const soundTimeoutMs = 2000

t.test('a service whose upstream answers without end', { timeout: 115_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  const faulty = await new UpstreamStandIn('i-faulty', () => {}).start()
  const sound = await new UpstreamStandIn('i-sound', (request, socket) => { socket.write(buildStandInAnswer(request)) }).start()
  const route = { timeoutMs: soundTimeoutMs, maxAttempts: 2 }
  fleet.writeConfiguration({
    services: [{ name: 'faulty', connectionLimit: 500 }, { name: 'sound', connectionLimit: 500 }],
    routes: [
      { ...route, name: 'faulty', pathPrefix: '/faulty/', service: 'faulty' },
      { ...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', service: 'faulty' },
      { ...route, name: 'sound', pathPrefix: '/sound/', service: 'sound' }
    ]
  })
  let starts = 1
  const writeFaulty = (): void => {
    fleet.store.write('servers/i-faulty', { service: 'faulty', address: faulty.address, zone: 'zone-1', slots: 64, state: 'ready', born: starts })
  }
  /** Ends what the host remembers of the upstream. */
  const startFaultyAgain = async (): Promise<void> => {
    starts++
    writeFaulty()
    const isNewStart = (line: string): boolean => line.includes('"upstream started again"')
    await waitUntil(() => host.process.listOutputLines().filter(isNewStart).length === starts - 1)
    faulty.requests.length = 0
  }
  writeFaulty()
  fleet.addUpstream(sound, 'sound')
  const host = await new SoakHost({ index: 0, network, folder: product.folder, program: product.program, storeAddress: fleet.store.address, memoryMb }).start()
  t.teardown(async () => {
    await host.stop()
    faulty.stop()
    sound.stop()
    fleet.store.stop()
    product.remove()
  })
  const address = `${host.ipAddress}:7001`
  const readResidentMb = (): number => {
    if (!host.process.isRunning) return 0
    const status = readFileSync(`/proc/${host.process.pid}/status`, 'utf8')
    return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]) / 1024
  }
  await host.waitReady()
  let requestCount = 0

  t.test('guards against a stream without end that is passed on until its deadline', async t => {
    const limits = [['events', 2 * megabyte], ['event comments', 262_144]] as const
    for (const [name, limitBytes] of limits) {
      faulty.answer = (request, socket) => { sendEndlessAnswer(socket, request, endlessAnswers[name]!) }
      const { status, body, isComplete } = await sendClientRequest(address, `stream-${++requestCount}`, '/stream/x')
      t.equal(status, 200)
      t.notOk(isComplete)
      t.ok(body.length <= limitBytes, `${name}: ${body.length} bytes were passed on`)
      await startFaultyAgain()
    }
  })

  for (const [name, answer] of Object.entries(endlessAnswers)) {
    t.test(`guards against ${name} without end that takes the memory or the time of other clients' requests`, { timeout: 20_000 }, async t => {
      let openConnections = 0
      faulty.answer = (request, socket) => {
        openConnections++
        socket.once('close', () => { openConnections-- })
        sendEndlessAnswer(socket, request, answer)
      }
      const endMs = performance.now() + playMs
      const durationsMs: number[] = []
      const unserved: string[] = []
      const refusals: ClientAnswer[] = []
      let peakMb = 0
      const sampler = setInterval(() => { peakMb = Math.max(peakMb, readResidentMb()) }, 20)
      const runFaulty = async (): Promise<void> => {
        while (performance.now() < endMs) {
          const path = answer.isStream === true ? '/stream/x' : '/faulty/x'
          const outcome = await sendClientRequest(address, `faulty-${++requestCount}`, path).catch(() => {})
          if (outcome?.status === 503) refusals.push(outcome)
          await delay(20)
        }
      }
      const runSound = async (): Promise<void> => {
        while (performance.now() < endMs) {
          const startMs = performance.now()
          const outcome = await sendClientRequest(address, `sound-${++requestCount}`, '/sound/x').then(({ status }) => String(status), error => String(error))
          durationsMs.push(performance.now() - startMs)
          if (outcome !== '200') unserved.push(outcome)
          await delay(20)
        }
      }
      await Promise.all([
        ...Array.from({ length: faultyClients }, runFaulty),
        ...Array.from({ length: soundClients }, runSound)
      ])
      clearInterval(sampler)
      const longestMs = Math.round(Math.max(...durationsMs))
      t.comment(`${name}: ${Math.round(peakMb)} MB, ${durationsMs.length} sound requests, longest ${longestMs} ms, ${faulty.requests.length} faulty ones, ${refusals.length} refused`)
      t.same(unserved, [], `all ${durationsMs.length} requests of the sound service are served`)
      t.ok(longestMs < soundTimeoutMs, `the longest took ${longestMs} ms`)
      t.ok(peakMb < memoryMb, `${Math.round(peakMb)} MB of ${memoryMb} MB`)
      // Each client sends its request twice at most before the first answers have shown the fault.
      t.ok(faulty.requests.length <= 2 * faultyClients, `${faulty.requests.length} requests reached the faulty upstream`)
      const timed = refusals.filter(({ headers }) => headers['retry-after'] !== undefined)
      t.ok(timed.length > 0 && timed.length === refusals.length, `${timed.length} of ${refusals.length} refusals have a time`)
      t.ok(host.process.isRunning, host.process.listErrorLines().join('\n'))
      await waitUntil(() => openConnections === 0)
      await startFaultyAgain()
    })
  }
})
