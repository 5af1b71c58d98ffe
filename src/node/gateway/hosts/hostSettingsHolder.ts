import type { HostSettings } from '../model/hostSettings.js'
import type { Logger } from '../../../types/logger.js'

/** Settings that take effect only after a restart, because the process keeps its sockets and its identity. */
const restartOnlyFields = [
  'hostId',
  'failureDomain',
  'ipAddress',
  'clientAddress',
  'readinessAddress',
  'directoryAddress',
  'firstPeerPort',
  'lastPeerPort',
  'storeAddress'
] as const

/** The current settings; a reload replaces them as a whole. */
export class HostSettingsHolder {
  constructor (private current: HostSettings, private readonly logger: Logger) {
    for (const fault of current.replacedSettings ?? []) {
      logger.recordWarning('setting not readable', { ...fault, outcome: 'the default applies' })
    }
  }

  get (): HostSettings {
    return this.current
  }

  /** Applies reloaded settings. Changes of `restartOnlyFields` are only logged; they take effect after a restart. */
  apply (settings: HostSettings): void {
    const pending = restartOnlyFields.filter(field => settings[field] !== this.current[field])
    this.current = { ...settings, ...Object.fromEntries(restartOnlyFields.map(field => [field, this.current[field]])) }
    this.logger.recordInfo('settings reloaded', { needRestart: pending.length === 0 ? undefined : pending.join(' ') })
  }
}
