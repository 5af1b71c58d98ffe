import { readFile } from 'node:fs/promises'
import { SettingsError } from '../settings/settingsError.js'
import { parseHostSettings } from './parseHostSettings.js'
import { platformConstants } from './constants.js'
import { resolveSettingsPath } from './resolveSettingsPath.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'

/** Reads the settings file. Throws a `SettingsError` that lists all invalid settings. */
export async function readHostSettings (environment: Readonly<Record<string, string | undefined>>): Promise<HostSettings> {
  const path = resolveSettingsPath(environment)
  try {
    return parseHostSettings(await readFile(path, 'utf8'))
  } catch (error) {
    if (error instanceof SettingsError) throw error
    if (path !== environment[platformConstants.settingsVariable] && (error as NodeJS.ErrnoException).code === 'ENOENT') {
      throw new SettingsError([{ setting: platformConstants.settingsVariable, expected: 'must be the path of the settings file' }])
    }
    throw new SettingsError([{
      setting: platformConstants.settingsVariable,
      value: (error as Error).message,
      expected: 'must name a readable file'
    }])
  }
}
