import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { endlessAnswers } from '../../../../playground/platform/endlessAnswers.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { ProcessGauge } from '../../../../playground/platform/processGauge.js'
import { sendClientRequest } from '../../../../playground/platform/sendClientRequest.js'
import { sendEndlessAnswer } from '../../../../playground/platform/sendEndlessAnswer.js'
import { SoakHost } from '../../../../playground/soak/soakHost.js'
import { UpstreamLink } from '../../../../playground/platform/upstreamLink.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'

/** Third byte of the hosts' loopback addresses; runs of the soak use 0 to 249. */
const network = 250
/** Apart from the hosts of other tests in this network. */
const firstIndex = 110
const memoryMb = 350
const faultyClients = 64
const soundClients = 4
const playMs = 2500
const largeBody = 'abcdefghij'.repeat(300_000)
/** Shapes that end at the relaying host. */
const relayedFaults = ['bytes that are no answer', 'interim responses', 'short header lines', 'a chunk size']
const shapes = [...relayedFaults, 'a signed body in chunks', 'a signed body without a stated end', 'events']

t.test('answers without end by way of another host', { timeout: 115_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  const answerSoundly: UpstreamStandIn['answer'] = (request, socket) => {
    socket.write(buildStandInAnswer(request, request.path === '/sound/large' ? { body: largeBody } : {}))
  }
  const faulty = await new UpstreamStandIn('i-faulty', answerSoundly).start()
  const sound = await new UpstreamStandIn('i-sound', answerSoundly).start()
  const route = { timeoutMs: 2000, maxAttempts: 2 }
  fleet.writeConfiguration({
    services: [{ name: 'faulty', connectionLimit: 500 }, { name: 'sound', connectionLimit: 500 }],
    routes: [
      { ...route, name: 'faulty', pathPrefix: '/faulty/', service: 'faulty' },
      { ...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', service: 'faulty' },
      { ...route, name: 'sound', pathPrefix: '/sound/', service: 'sound' }
    ]
  })
  const links = new Map<string, UpstreamLink>()
  for (const upstream of [faulty, sound]) links.set(`servers/${upstream.id}`, await new UpstreamLink(upstream.address).start())
  const view = await fleet.store.startView((key, text) => {
    const link = links.get(key)
    return link === undefined ? text : JSON.stringify({ ...JSON.parse(text), address: link.address })
  })
  let starts = 1
  const writeFaulty = (): void => {
    fleet.store.write('servers/i-faulty', { service: 'faulty', address: faulty.address, zone: 'zone-1', slots: 64, state: 'ready', born: starts })
  }
  writeFaulty()
  fleet.addUpstream(sound, 'sound')
  const options = { network, folder: product.folder, program: product.program, memoryMb }
  const relaying = await new SoakHost({ ...options, index: firstIndex, storeAddress: fleet.store.address }).start()
  const cutOff = await new SoakHost({ ...options, index: firstIndex + 1, storeAddress: view }).start()
  t.teardown(async () => {
    await Promise.all([relaying.stop(), cutOff.stop()])
    for (const link of links.values()) link.stop()
    faulty.stop()
    sound.stop()
    fleet.store.stop()
    product.remove()
  })
  await Promise.all([relaying.waitReady(), cutOff.waitReady()])
  let requestCount = 0
  const send = async (host: SoakHost, path: string): Promise<string> => {
    const sent = sendClientRequest(`${host.ipAddress}:7001`, `request-${++requestCount}`, path)
    return await sent.then(({ status }) => String(status), error => String(error))
  }
  const countRelayed = (): number => cutOff.process.listOutputLines().filter(line => line.includes(`"relayedBy":"${relaying.id}"`)).length
  for (const link of links.values()) link.closePath('refused')
  for (let i = 0; i < 50 && countRelayed() === 0; i++) {
    await Promise.all([send(cutOff, '/sound/x'), send(cutOff, '/faulty/x')])
    await delay(50)
  }
  t.ok(countRelayed() > 0, 'requests are relayed')

  await t.test('large answers are relayed whole', async t => {
    const answers = await Promise.all(Array.from({ length: 4 }, async () => {
      return await sendClientRequest(`${cutOff.ipAddress}:7001`, `request-${++requestCount}`, '/sound/large')
    }))
    for (const { status, body } of answers) t.ok(status === 200 && body === largeBody, `${status}, ${body.length} bytes`)
  })

  for (const name of shapes) {
    await t.test(`guards against ${name} without end that fills the host which relays it`, { timeout: 20_000 }, async t => {
      const answer = endlessAnswers[name]!
      faulty.requests.length = 0
      faulty.answer = (request, socket) => { sendEndlessAnswer(socket, request, answer) }
      const gauges = [relaying, cutOff].map(({ process }) => new ProcessGauge(process.pid!))
      const endMs = performance.now() + playMs
      const outcomes = new Map<string, number>()
      const durationsMs: number[] = []
      const runSound = async (host: SoakHost): Promise<void> => {
        while (performance.now() < endMs) {
          const startMs = performance.now()
          const key = `${host.id} ${await send(host, '/sound/x')}`
          durationsMs.push(performance.now() - startMs)
          outcomes.set(key, (outcomes.get(key) ?? 0) + 1)
          await delay(20)
        }
      }
      const runFaulty = async (): Promise<void> => {
        while (performance.now() < endMs) {
          await send(cutOff, answer.isStream === true ? '/stream/x' : '/faulty/x')
          await delay(20)
        }
      }
      await Promise.all([
        ...Array.from({ length: faultyClients }, runFaulty),
        ...Array.from({ length: soundClients }, async () => { await Promise.all([runSound(relaying), runSound(cutOff)]) })
      ])
      for (const gauge of gauges) gauge.stop()
      const [relayingMb, cutOffMb] = gauges.map(gauge => gauge.readPeakMb())
      const longestMs = Math.round(Math.max(...durationsMs))
      t.comment(`${name}: ${relayingMb} MB and ${cutOffMb} MB, ${JSON.stringify(Object.fromEntries(outcomes))}, longest ${longestMs} ms, ${faulty.requests.length} faulty calls`)
      t.ok(relaying.process.isRunning, relaying.process.listErrorLines().join('\n'))
      t.ok(cutOff.process.isRunning, cutOff.process.listErrorLines().join('\n'))
      t.ok(relayingMb! < memoryMb, `the host that relays: ${relayingMb} MB`)
      t.ok(cutOffMb! < memoryMb, `the host that is cut off: ${cutOffMb} MB`)
      t.same([...outcomes.keys()].sort(), [`${relaying.id} 200`, `${cutOff.id} 200`], 'all requests of the sound service are served')
      if (relayedFaults.includes(name)) {
        // Each client sends its request twice at most before the first answers have shown the fault.
        const count = faulty.requests.length
        t.ok(count <= 2 * faultyClients, `${count} requests reached the faulty upstream`)
      }
      starts++
      writeFaulty()
      await delay(700)
    })
  }
})
