import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { EndlessLink } from '../../../../playground/platform/endlessLink.js'
import { endlessAnswers } from '../../../../playground/platform/endlessAnswers.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { ProcessGauge } from '../../../../playground/platform/processGauge.js'
import { sendClientRequest } from '../../../../playground/platform/sendClientRequest.js'
import { SoakHost } from '../../../../playground/soak/soakHost.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

/** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
const network = 250
/** Apart from the hosts of other tests in this network. */
const hostIndex = 100
const memoryMb = 210
const clientCount = 8
const playMs = 2500

t.test('a store that answers without end', { timeout: 115_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  const link = await new EndlessLink(fleet.store.address).start()
  const sound = await new UpstreamStandIn('i-sound', (request, socket) => { socket.write(buildStandInAnswer(request)) }).start()
  fleet.writeConfiguration({
    services: [{ name: 'sound', connectionLimit: 500 }],
    routes: [{ timeoutMs: 2000, maxAttempts: 2, name: 'sound', pathPrefix: '/sound/', service: 'sound' }]
  })
  fleet.addUpstream(sound, 'sound')
  const host = await new SoakHost({ index: hostIndex, network, folder: product.folder, program: product.program, storeAddress: link.address, memoryMb }).start()
  t.teardown(async () => {
    await host.stop()
    link.stop()
    sound.stop()
    fleet.store.stop()
    product.remove()
  })
  await host.waitReady()
  let requestCount = 0

  /** Sends requests for `playMs`. */
  const play = async (): Promise<{ readonly served: number, readonly unserved: readonly string[], readonly longestMs: number }> => {
    const endMs = performance.now() + playMs
    const durationsMs: number[] = []
    const unserved: string[] = []
    await Promise.all(Array.from({ length: clientCount }, async () => {
      while (performance.now() < endMs) {
        const startMs = performance.now()
        const sent = sendClientRequest(`${host.ipAddress}:7001`, `sound-${++requestCount}`, '/sound/x')
        const outcome = await sent.then(({ status }) => String(status), error => String(error))
        durationsMs.push(performance.now() - startMs)
        if (outcome !== '200') unserved.push(outcome)
        await delay(20)
      }
    }))
    return { served: durationsMs.length - unserved.length, unserved, longestMs: Math.round(Math.max(...durationsMs)) }
  }
  const isConnected = (): boolean => {
    const lines = host.process.listOutputLines()
    return lines.findLastIndex(line => line.includes('"store regained"')) > lines.findLastIndex(line => line.includes('"store lost"'))
  }
  const usual = await play()

  for (const [name, answer] of Object.entries(endlessAnswers).filter(([, { isStream }]) => isStream !== true)) {
    t.test(`guards against ${name} without end of the store that fills or stops the host`, { timeout: 20_000 }, async t => {
      const gauge = new ProcessGauge(host.process.pid!)
      link.setAnswer(answer)
      const { served, unserved, longestMs } = await play()
      const { answerCount } = link
      link.setAnswer(undefined)
      gauge.stop()
      const peakMb = gauge.readPeakMb()
      t.comment(`${name}: ${peakMb} MB, ${served} of ${usual.served} requests, longest ${longestMs} ms, ${answerCount} calls without end`)
      t.ok(host.process.isRunning, host.process.listErrorLines().join('\n'))
      t.ok(peakMb < memoryMb, `${peakMb} MB`)
      t.same(unserved, [], 'all requests are served')
      t.ok(served > usual.served / 2, `${served} requests, ${usual.served} while the store answers`)
      t.ok(answerCount > 0, 'calls were answered without end')
      await waitUntil(isConnected)
      t.ok(isConnected(), 'the store is read again')
    })
  }
})
