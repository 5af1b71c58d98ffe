import { settingDefinitions } from './settingDefinitions.js'
import { settingsConstants } from './constants.js'

/** Lists variables with the product's prefix that belong to no setting and are most likely misspelt. */
export function listUnknownVariables (environment: Readonly<Record<string, string | undefined>>): readonly string[] {
  const known = new Set([...settingDefinitions.map(definition => definition.variable), ...settingsConstants.clientVariables])
  return Object.keys(environment).filter(name => name.startsWith(settingsConstants.variablePrefix) && !known.has(name))
}
