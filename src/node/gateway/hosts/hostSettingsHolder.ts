import type { HostSettings } from '../model/hostSettings.js'
import type { Logger } from '../../../types/logger.js'

/** Settings that take effect at the next start only: sockets and identity belong to the process. */
const fixedFields = ['hostId', 'failureDomain', 'ipAddress', 'clientAddress', 'readinessAddress', 'directoryAddress', 'firstPeerPort', 'storeAddress'] as const

/** The settings in force; a reload replaces them as a whole. */
export class HostSettingsHolder {
  constructor (private current: HostSettings, private readonly logger: Logger) {}

  get (): HostSettings {
    return this.current
  }

  /** Takes over settings that were read again. Changes of fixed fields are kept for the next start. */
  apply (settings: HostSettings): void {
    const pending = fixedFields.filter(field => settings[field] !== this.current[field])
    this.current = { ...settings, ...Object.fromEntries(fixedFields.map(field => [field, this.current[field]])) }
    this.logger.recordInfo('settings reloaded', { needRestart: pending.length === 0 ? undefined : pending.join(' ') })
  }
}
