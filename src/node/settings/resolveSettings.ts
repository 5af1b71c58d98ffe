import { isAddress } from './isAddress.js'
import { settingDefinitions } from './settingDefinitions.js'
import { SettingsError } from './settingsError.js'
import type { ResolvedSettings } from './resolvedSettings.js'
import type { SettingDefinition } from './settingDefinition.js'
import type { SettingFault } from './settingFault.js'
import type { UserSettings } from './userSettings.js'

/** Validates the settings and fills in the defaults. Throws one `SettingsError` with all faults. */
export function resolveSettings (user: UserSettings): ResolvedSettings {
  const faults: SettingFault[] = []
  const values: Record<string, unknown> = {}
  for (const definition of settingDefinitions) {
    values[definition.key] = resolveSetting(definition, user[definition.key], faults)
  }
  for (const [from, to] of [['listen', 'advertise'], ['peerListen', 'peerAdvertise']] as const) {
    if (user[to] === undefined) values[to] = resolveAdvertised(values[from], from, to, faults)
  }
  if (values.listen !== undefined && values.listen === values.peerListen && isAddress(String(values.listen), 1)) {
    faults.push({ setting: formatSetting(getDefinition('peerListen')), value: `"${String(values.peerListen)}"`, expected: 'must differ from --listen' })
  }
  if (faults.length > 0) throw new SettingsError(faults)
  return values as unknown as ResolvedSettings
}

function resolveSetting (definition: SettingDefinition, givenValue: unknown, faults: SettingFault[]): unknown {
  const value = givenValue ?? definition.defaultValue
  const expected = `must be ${definition.allowed}`
  if (value === undefined) {
    if (definition.required) faults.push({ setting: formatSetting(definition), expected })
    return undefined
  }
  const result = definition.schema.safeParse(value)
  if (result.success) return result.data
  faults.push({ setting: formatSetting(definition), value: formatValue(definition, value), expected })
  return undefined
}

/** Advertises the listen address by default. An unspecified one (0.0.0.0) is a fault, because nobody can connect to it. */
function resolveAdvertised (listen: unknown, from: keyof UserSettings, to: keyof UserSettings, faults: SettingFault[]): unknown {
  if (typeof listen !== 'string' || !/^(0\.0\.0\.0|\[[0:]+\]):/.test(listen)) return listen
  const definition = getDefinition(to)
  faults.push({
    setting: formatSetting(definition),
    expected: `must be set when --${getDefinition(from).flag} is an unspecified address such as ${listen}`
  })
  return undefined
}

function getDefinition (key: keyof UserSettings): SettingDefinition {
  return settingDefinitions.find(definition => definition.key === key)!
}

function formatSetting (definition: SettingDefinition): string {
  return `--${definition.flag} (${definition.variable})`
}

function formatValue (definition: SettingDefinition, value: unknown): string {
  if (definition.secret) return `[redacted, ${String(value).length} characters]`
  // A URL may contain credentials.
  const text = JSON.stringify(value).replace(/\/\/[^/@]*@/, '//[redacted]@')
  return text.length > 200 ? `${text.slice(0, 200)}...` : text
}
