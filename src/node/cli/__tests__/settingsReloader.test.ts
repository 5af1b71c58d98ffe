import t from 'tap'
import { SettingsReloader } from '../settingsReloader.js'
import type { HostSettings } from '../../gateway/model/hostSettings.js'
import type { ReloadableHost } from '../reloadableHost.js'

const waitTurn = async (): Promise<void> => { await new Promise(resolve => setImmediate(resolve)) }

function createHost () {
  const applied: unknown[] = []
  const host: ReloadableHost = {
    drain () {},
    waitUntilStopped: async () => {},
    applySettings: settings => { applied.push(settings) },
    recordSettingsFault: message => { applied.push(message) }
  }
  return { host, applied }
}

t.test('reloads during the start are carried out once the host has started, with the newest settings', async t => {
  const { host, applied } = createHost()
  let version = 1
  const reloader = new SettingsReloader(async () => version as unknown as HostSettings)
  reloader.reload()
  reloader.reload()
  await waitTurn()
  version = 2
  reloader.setHost(host)
  await waitTurn()
  t.same(applied, [2])
})

t.test('a reload that comes during a read reads once more, so that the newest settings are applied last', async t => {
  const { host, applied } = createHost()
  const reads: Array<(settings: HostSettings) => void> = []
  const reloader = new SettingsReloader(async () => await new Promise(resolve => { reads.push(resolve) }))
  reloader.setHost(host)
  for (let i = 0; i < 5; i++) reloader.reload()
  t.equal(reads.length, 1)
  reads[0]!(1 as unknown as HostSettings)
  await waitTurn()
  t.equal(reads.length, 2)
  reads[1]!(2 as unknown as HostSettings)
  await waitTurn()
  t.same(applied, [1, 2])
  t.equal(reads.length, 2)
})
