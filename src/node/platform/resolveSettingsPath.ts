import { platformConstants } from './constants.js'

/** The path of the settings file: that of the environment, or the platform's own. */
export function resolveSettingsPath (environment: Readonly<Record<string, string | undefined>>): string {
  const path = environment[platformConstants.settingsVariable]
  return path === undefined || path === '' ? platformConstants.settingsPath : path
}
