import t from 'tap'
import { cliConstants } from '../constants.js'
import { readStartSettings } from '../readStartSettings.js'
import { SettingsError } from '../../settings/settingsError.js'
import type { HostSettings } from '../../gateway/model/hostSettings.js'

const fault = new SettingsError([{ setting: 'file', value: 'torn', expected: 'must be whole' }])

t.test('a settings file that is whole after a moment is read; one that stays faulty is an error', async t => {
  let reads = 0
  const waits: number[] = []
  const wait = async (ms: number): Promise<void> => { waits.push(ms) }
  const readTorn = async (): Promise<HostSettings> => {
    if (++reads < 3) throw fault
    return { hostId: 'whole' } as HostSettings
  }
  t.match(await readStartSettings(readTorn, wait), { hostId: 'whole' })
  t.equal(waits.length, 2)
  await t.rejects(readStartSettings(async () => { throw fault }, wait), fault)
  t.equal(waits.length, 2 + cliConstants.settingsReadAttempts - 1)
})
