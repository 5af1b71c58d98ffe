import t from 'tap'
import { buildUserSettings } from '../buildUserSettings.js'
import { listUnknownVariables } from '../listUnknownVariables.js'
import { resolveSettings } from '../resolveSettings.js'
import { SettingsError } from '../settingsError.js'
import type { UserSettings } from '../userSettings.js'

const complete: UserSettings = {
  hostId: 'host-1',
  failureDomain: 'quay-a',
  listen: '127.0.0.1:7101',
  peerListen: '127.0.0.1:7201',
  keyValueUrl: 'http://127.0.0.1:7301/',
  hostListUrl: 'http://127.0.0.1:7302',
  operatorToken: 'operator-token-of-the-test',
  peerSecret: 'peer-secret-of-the-test'
}

function readFaults (user: UserSettings): string {
  try {
    resolveSettings(user)
  } catch (error) {
    if (error instanceof SettingsError) return error.message
    throw error
  }
  return ''
}

t.test('settings that the user leaves out get their defaults', t => {
  t.matchSnapshot(resolveSettings(complete))
  t.end()
})

t.test('all faults are reported at once and secrets stay hidden', t => {
  const message = readFaults({ ...complete, hostId: undefined, listen: 'localhost:80', peerSecret: 'swordfish', maxBodyBytes: '1e3', logLevel: 'loud' })
  t.notMatch(message, 'swordfish')
  t.matchSnapshot(message)
  t.end()
})

t.test('an unspecified listen address needs an advertised one', t => {
  t.match(readFaults({ ...complete, listen: '0.0.0.0:7101' }), '--advertise (LYCHEETRACK_ADVERTISE) is missing')
  t.equal(resolveSettings({ ...complete, listen: '0.0.0.0:7101', advertise: '127.0.0.1:7101' }).advertise, '127.0.0.1:7101')
  t.end()
})

t.test('two servers cannot share one address', t => {
  t.match(readFaults({ ...complete, peerListen: complete.listen }), 'must differ from --listen')
  t.equal(readFaults({ ...complete, listen: '127.0.0.1:0', peerListen: '127.0.0.1:0' }), '')
  t.end()
})

t.test('invalid addresses are refused', t => {
  for (const listen of ['127.0.0.1', '127.0.0.1:65536', '256.0.0.1:80', '::1:80', '[127.0.0.1]:80', ':80']) {
    t.match(readFaults({ ...complete, listen }), '--listen', listen)
  }
  t.equal(resolveSettings({ ...complete, listen: '[::1]:7101' }).advertise, '[::1]:7101')
  t.end()
})

t.test('a flag wins over its variable and an empty variable counts as absent', t => {
  const user = buildUserSettings({ 'host-id': 'host-2' }, { LYCHEETRACK_HOST_ID: 'host-1', LYCHEETRACK_PROBE_MS: '', LYCHEETRACK_LOAD_POLL_MS: '250' })
  t.match(user, { hostId: 'host-2', probeMs: undefined, loadPollMs: '250' })
  t.end()
})

t.test('misspelt variables are found', t => {
  t.same(listUnknownVariables({ LYCHEETRACK_HOSTID: 'x', LYCHEETRACK_HOST_ID: 'x', LYCHEETRACK_TOKEN: 'x', PATH: '' }), ['LYCHEETRACK_HOSTID'])
  t.end()
})
