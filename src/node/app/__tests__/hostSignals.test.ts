import { setTimeout as delay } from 'node:timers/promises'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { buildStandInAnswer } from '../../../../playground/platform/buildStandInAnswer.js'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { ConnectedClients } from '../../../../playground/platform/connectedClients.js'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { hasSignalHandler } from '../../../../playground/processes/hasSignalHandler.js'
import { SoakHost } from '../../../../playground/soak/soakHost.js'
import { UpstreamStandIn } from '../../../../playground/platform/upstreamStandIn.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

/** Third byte of the host's loopback addresses; runs of the soak use 0 to 249. */
const network = 252
const hangUpNumber = 1
const answerDelayMs = 300
/** More than the interval at which a host renews its entry in the store. */
const entryRenewalMs = 2000

// Sends the process a signal at the first module that its entry file loads.
const buildSignalHook = (signal: string): string => `
const Module = require('node:module')
const load = Module._load
Module._load = (request, parent, ...rest) => {
  if (parent?.filename === process.argv[1]) {
    Module._load = load
    process.kill(process.pid, '${signal}')
  }
  return load(request, parent, ...rest)
}`

t.test('signals to the process of a host', { timeout: 110_000 }, async t => {
  const product = buildProduct()
  const fleet = new GatewayTestHarness('writer')
  await fleet.store.start()
  const upstream = await new UpstreamStandIn('i-shop', (request, socket) => {
    const isStream = request.path.startsWith('/stream/')
    const headers: Record<string, string> = isStream ? { 'Content-Type': 'text/event-stream' } : {}
    const body = isStream ? 'id: 1\ndata: token\n\n' : 'ok'
    setTimeout(() => { socket.write(buildStandInAnswer(request, { body, headers })) }, answerDelayMs)
  }).start()
  fleet.writeConfiguration({
    services: [{ name: 'shop', connectionLimit: 200 }],
    routes: [
      { name: 'once', pathPrefix: '/once/', kind: 'unsafe', service: 'shop', timeoutMs: 9000, maxAttempts: 1 },
      { name: 'stream', pathPrefix: '/stream/', kind: 'streaming', service: 'shop', timeoutMs: 9000, maxAttempts: 1 }
    ]
  })
  fleet.addUpstream(upstream, 'shop')
  const listForwarded = (): ReadonlySet<string> => new Set(upstream.requests.map(request => request.headers['x-request-id'] ?? ''))
  t.teardown(() => {
    upstream.stop()
    fleet.store.stop()
    product.remove()
  })
  const createHost = async (index: number, nodeOptions: readonly string[] = []): Promise<SoakHost> => {
    const { folder, program } = product
    const host = await new SoakHost({ index, network, folder, program, storeAddress: fleet.store.address, nodeOptions }).start()
    t.teardown(async () => { await host.process.kill().finally(() => { host.storeProxy.stop() }) })
    return host
  }
  const createClients = (options: ConstructorParameters<typeof ConnectedClients>[0]): ConnectedClients => {
    const clients = new ConnectedClients(options)
    t.teardown(async () => { await clients.stop() })
    return clients
  }
  const listLines = (host: SoakHost, message: string): ReadonlyArray<Record<string, unknown>> => {
    return host.process.listOutputLines().map(line => JSON.parse(line) as Record<string, unknown>).filter(line => line.message === message)
  }

  t.test('guards against a SIGHUP that ends the process while its program loads', async t => {
    const hook = join(product.folder, 'signalAtFirstLoad.cjs')
    writeFileSync(hook, buildSignalHook('SIGHUP'))
    const host = await createHost(0, ['--require', hook])
    await host.waitReady()
    t.ok(host.process.isRunning)
    await waitUntil(() => listLines(host, 'signal received').length > 0)
    t.match(listLines(host, 'signal received'), [{ signal: 'SIGHUP', state: 'starting', outcome: 'reload after the start' }])
  })

  t.test('guards against a signal without a meaning for a host that ends the process', async t => {
    const host = await createHost(15)
    await host.waitReady()
    for (const signal of ['SIGUSR2', 'SIGPIPE'] as const) host.process.sendSignal(signal)
    await waitUntil(() => listLines(host, 'signal received').length > 0)
    t.match(listLines(host, 'signal received'), [{ signal: 'SIGUSR2', state: 'running', outcome: 'none' }])
    t.ok(host.process.isRunning)
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

  t.test('guards against a SIGTERM during the start that ends the process by the signal', async t => {
    const hook = join(product.folder, 'stopAtFirstLoad.cjs')
    writeFileSync(hook, buildSignalHook('SIGTERM'))
    const host = await createHost(2, ['--require', hook])
    t.equal(await host.process.waitEnd(), 0)
    t.match(listLines(host, 'process ends'), [{ status: 0, reason: 'start cancelled' }])
  })

  t.test('guards against a process that waits for its store and does not stop', async t => {
    const host = await createHost(3)
    host.storeProxy.stop()
    await waitUntil(() => listLines(host, 'host starting').length > 0)
    await delay(300)
    const startMs = performance.now()
    host.process.sendSignal('SIGTERM')
    t.equal(await host.process.waitEnd(), 0)
    t.ok(performance.now() - startMs < 1000)
  })

  t.test('guards against requests that a host accepts during its start and cuts at a SIGTERM', async t => {
    const ids = Array.from({ length: 6 }, (_, i) => 4 + i)
    await Promise.all(ids.map(async index => {
      const host = await createHost(index)
      const clients = createClients({ address: `${host.ipAddress}:7001`, path: '/once/x', method: 'POST', count: 8 })
      await waitUntil(() => listLines(host, 'host starting').length > 0)
      await delay((index - 4) * 20)
      host.process.sendSignal('SIGTERM')
      t.equal(await host.process.waitEnd(), 0)
      await clients.stop()
      t.same(clients.listCut(listForwarded()), [])
    }))
  })

  t.test('guards against repeated stop signals that cut the requests in progress', async t => {
    const host = await createHost(10)
    await host.waitReady()
    const options = { address: `${host.ipAddress}:7001`, method: 'POST', count: 24 }
    const clients = [createClients({ ...options, path: '/once/x' }), createClients({ ...options, path: '/stream/x', method: 'GET' })]
    await waitUntil(() => clients.every(client => client.countStatus(200) >= options.count))
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
      host.process.sendSignal(signal)
      await delay(200)
    }
    t.equal(await host.process.waitEnd(), 0)
    await Promise.all(clients.map(async client => { await client.stop() }))
    for (const client of clients) {
      t.ok(client.countStatus(200) >= options.count, 'each client was served before the signals')
      t.same(client.listCut(listForwarded()), [])
    }
    t.same(listLines(host, 'signal received').map(({ outcome }) => outcome), ['drain', 'none', 'none', 'none', 'reload'])
  })

  t.test('guards against a drain that a person at a terminal cannot end', async t => {
    const host = await createHost(11)
    await host.waitReady()
    host.process.sendSignal('SIGINT')
    await waitUntil(() => listLines(host, 'signal received').length === 1)
    host.process.sendSignal('SIGINT')
    t.equal(await host.process.waitEnd(), 130)
    t.match(listLines(host, 'process ends'), [{ status: 130, reason: 'second SIGINT' }])
  })

  t.test('guards against a process that ends because the one before it still listens at its addresses', async t => {
    const old = await createHost(12)
    await old.waitReady()
    const clients = createClients({ address: `${old.ipAddress}:7001`, path: '/once/x', method: 'POST', count: 8 })
    const host = await createHost(12)
    const cancelled = await createHost(12)
    await waitUntil(() => [host, cancelled].every(({ process }) => process.listOutputLines().some(line => line.includes('address in use'))))
    host.process.reload()
    cancelled.process.sendSignal('SIGTERM')
    t.equal(await cancelled.process.waitEnd(), 0)
    old.process.sendSignal('SIGTERM')
    t.equal(await old.process.waitEnd(), 0)
    await host.waitReady()
    const servedCount = clients.countStatus(200)
    await waitUntil(() => clients.countStatus(200) > servedCount)
    await clients.stop()
    t.same(clients.listCut(listForwarded()), [])
    await delay(entryRenewalMs)
    t.match(JSON.parse(fleet.store.find('lycheetrack/hosts/host-12') ?? '{}'), { id: 'host-12', isReady: true })
  })

  t.test('guards against unexpected errors that end the process with its requests in progress', async t => {
    const hook = join(product.folder, 'unexpectedErrors.cjs')
    writeFileSync(hook, "process.on('SIGUSR2', () => { for (let i = 0; i < 30; i++) setImmediate(() => { throw new TypeError('unexpected') }) })")
    const host = await createHost(13, ['--require', hook])
    await host.waitReady()
    const clients = createClients({ address: `${host.ipAddress}:7001`, path: '/once/x', method: 'POST', count: 24 })
    await waitUntil(() => clients.countStatus(200) >= 24)
    host.process.sendSignal('SIGUSR2')
    t.equal(await host.process.waitEnd(), 70)
    await clients.stop()
    t.same(clients.listCut(listForwarded()), [])
    t.match(listLines(host, 'process ends'), [{ status: 70 }])
  })

  t.test('guards against a settings file that is being written and ends the start', async t => {
    const { folder, program } = product
    const host = new SoakHost({ index: 14, network, folder, program, storeAddress: fleet.store.address })
    await host.storeProxy.start()
    t.teardown(async () => { await host.process.kill().finally(() => { host.storeProxy.stop() }) })
    writeFileSync(join(folder, 'host-14.toml'), '[listenAddresses]\nfront = "127.')
    host.process.start()
    await waitUntil(() => hasSignalHandler(host.process.pid!, hangUpNumber))
    await delay(400)
    host.writeSettings()
    await host.waitReady()
    t.ok(host.process.isRunning)
  })
})
