import { cliConstants } from './constants.js'
import { SettingsError } from '../settings/settingsError.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'

/**
 * Reads the settings for the start of a host. A file with faults may be one that is just being written, so it is read
 * again for a short time; then rejects with its `SettingsError`.
 */
export async function readStartSettings (
  readSettings: () => Promise<HostSettings>,
  wait: (ms: number) => Promise<void>
): Promise<HostSettings> {
  for (let attempts = 1; ; attempts++) {
    try {
      return await readSettings()
    } catch (error) {
      if (!(error instanceof SettingsError) || attempts >= cliConstants.settingsReadAttempts) throw error
    }
    await wait(cliConstants.settingsRetryMs)
  }
}
