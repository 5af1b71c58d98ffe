import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { SettingFault } from './settingFault.js'

/** The settings are invalid; the message lists all faults, one per line. */
export class SettingsError extends LycheetrackError {
  readonly code = 'settings_invalid'
  override readonly ran = 'not_run'

  constructor (readonly faults: readonly SettingFault[]) {
    super(faults.map(formatFault).join('\n'))
  }
}

function formatFault (fault: SettingFault): string {
  const value = fault.value === undefined ? 'is missing' : `is ${fault.value}`
  return `${fault.setting} ${value}; it ${fault.expected}`
}
