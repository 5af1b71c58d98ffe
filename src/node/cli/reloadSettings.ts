import { readHostSettings } from '../platform/readHostSettings.js'
import type { CommandLineDependencies } from './commandLineDependencies.js'
import type { ReloadableHost } from './reloadableHost.js'

/** Reads the settings again and applies them; a file with faults is logged and changes nothing. */
export function reloadSettings (dependencies: CommandLineDependencies, host: ReloadableHost): void {
  readHostSettings(dependencies.environment).then(
    settings => { host.applySettings(settings) },
    error => { host.recordSettingsFault((error as Error).message) }
  )
}
