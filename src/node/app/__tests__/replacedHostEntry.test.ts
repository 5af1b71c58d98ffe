import t from 'tap'
import { GatewayTestHarness } from '../../../../playground/platform/gatewayTestHarness.js'
import { waitUntil } from '../../../../playground/fakes/waitUntil.js'

const key = 'lycheetrack/hosts/host-1'

t.test('guards against late writes of the old process of a host that keep the new one out of the directory', async t => {
  const fleet = await new GatewayTestHarness().start()
  t.teardown(async () => { await fleet.stop() })
  const read = (): { readonly isReady?: boolean, readonly startedAtMs?: number } => JSON.parse(fleet.store.find(key) ?? '{}')
  await waitUntil(() => read().isReady === true)
  const own = read()
  fleet.store.write(key, { ...own, isReady: false, startedAtMs: own.startedAtMs! - 5000 })
  await waitUntil(() => read().isReady === true)
  t.match(read(), own, 'an entry that was overwritten')
  fleet.store.remove(key)
  await waitUntil(() => read().isReady === true)
  t.match(read(), own, 'an entry that was removed with the lease of the old process')
})
