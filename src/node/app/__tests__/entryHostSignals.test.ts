import t from 'tap'
import { buildProduct } from '../../../../playground/platform/buildProduct.js'
import { ManagedProcess } from '../../../../playground/processes/managedProcess.js'
import { processConstants } from '../../../../playground/processes/constants.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

/** Nothing listens there, so a host waits for its contracts and does not become ready. */
const services = ['--key-value-url', 'http://127.0.0.1:1', '--host-list-url', 'http://127.0.0.1:2']
const flags = ['--host-id', 'host-1', '--failure-domain', 'quay-a', '--listen', '127.1.252.40:7101', '--peer-listen', '127.1.252.40:7201', '--drain-timeout-ms', '2000']

t.test('signals to the process of an entry host', { timeout: 60_000 }, async t => {
  const product = buildProduct()
  const environment = { LYCHEETRACK_OPERATOR_TOKEN: 'operator-token-of-the-test', LYCHEETRACK_PEER_SECRET: 'peer-secret-of-the-test' }
  const startHost = (): ManagedProcess => {
    const host = new ManagedProcess({ id: 'host-1', args: [product.program, 'serve', ...flags, ...services], environment, inheritedVariables: processConstants.platformVariables })
    host.start()
    t.teardown(async () => { await host.kill() })
    return host
  }
  t.teardown(() => { product.remove() })
  const hasLine = (host: ManagedProcess, text: string): boolean => host.listErrorLines().some(line => line.includes(text))

  t.test('guards against stop signals during the start or the drain that end the process by the signal', async t => {
    const old = startHost()
    await waitUntil(() => hasLine(old, '"listening"'))
    const host = startHost()
    await waitUntil(() => hasLine(host, 'address in use'))
    old.sendSignal('SIGTERM')
    await waitUntil(() => hasLine(old, 'signal received'))
    old.sendSignal('SIGTERM')
    old.sendSignal('SIGHUP')
    t.equal(await old.waitEnd(), 0)
    await waitUntil(() => hasLine(host, '"listening"'))
    t.ok(host.isRunning)
    host.sendSignal('SIGHUP')
    t.equal(await host.waitEnd(), 0)
  })
})
