import { setTimeout as delay } from 'node:timers/promises'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { hasSignalHandler } from '../../../../playground/processes/hasSignalHandler.js'
import { SoakHost } from '../../../../playground/soak/soakHost.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

/** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
const network = 252
const hangUpNumber = 1

// Sends the process a signal at the first module that its entry file loads.
const signalAtFirstLoad = `
const Module = require('node:module')
const load = Module._load
Module._load = (request, parent, ...rest) => {
  if (parent?.filename === process.argv[1]) {
    Module._load = load
    process.kill(process.pid, 'SIGHUP')
  }
  return load(request, parent, ...rest)
}`

t.test('signals to the process of a host', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  fleet.writeConfiguration({})
  t.teardown(() => {
    fleet.store.stop()
    product.remove()
  })
  const createHost = async (index: number, nodeOptions: readonly string[] = []): Promise<SoakHost> => {
    const { folder, program } = product
    const host = await new SoakHost({ index, network, folder, program, storeAddress: fleet.store.address, nodeOptions }).start()
    t.teardown(async () => { await host.process.kill().finally(() => { host.storeProxy.stop() }) })
    return host
  }
  const listLines = (host: SoakHost, message: string): ReadonlyArray<Record<string, unknown>> => {
    return host.process.listOutputLines().map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line.message === message)
  }

  t.test('guards against a SIGHUP that ends the process while its program loads', async t => {
    const hook = join(product.folder, 'signalAtFirstLoad.cjs')
    writeFileSync(hook, signalAtFirstLoad)
    const host = await createHost(0, ['--require', hook])
    await host.waitReady()
    t.ok(host.process.isRunning)
    t.match(listLines(host, 'signal received'), [{ signal: 'SIGHUP', state: 'starting', outcome: 'reload after the start' }])
  })

  t.test('guards against reload signals during the start that end the process or are lost', async t => {
    const host = await createHost(1)
    await waitUntil(() => hasSignalHandler(host.process.pid!, hangUpNumber))
    for (let i = 0; i < 100; i++) {
      host.process.reload()
      await delay(5)
    }
    await host.waitReady()
    t.ok(listLines(host, 'signal received').some(({ state }) => state === 'starting'))
    await waitUntil(() => listLines(host, 'settings reloaded').length > 0)
    t.ok(host.process.isRunning)
  })
})
