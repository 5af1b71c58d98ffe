import { settingDefinitions } from './settingDefinitions.js'
import type { UserSettings } from './userSettings.js'

/**
 * Collects the settings from parsed flags (by flag name) and environment variables. A flag wins over
 * its variable; an empty variable counts as absent.
 */
export function buildUserSettings (flags: Readonly<Record<string, unknown>>, environment: Readonly<Record<string, string | undefined>>): UserSettings {
  const entries = settingDefinitions.map(definition => {
    const variable = environment[definition.variable]
    return [definition.key, flags[definition.flag] ?? (variable === '' ? undefined : variable)]
  })
  return Object.fromEntries(entries)
}
