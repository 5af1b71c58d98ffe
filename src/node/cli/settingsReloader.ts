import { SettingsError } from '../settings/settingsError.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { ReloadableHost } from './reloadableHost.js'

/** Reads the settings again on request and applies them; settings with faults are logged and change nothing. */
export class SettingsReloader {
  private host: ReloadableHost | undefined
  private isRequested = false
  private isReading = false

  constructor (private readonly readSettings: () => Promise<HostSettings>) {}

  /** Requests that came before this are carried out now. */
  setHost (host: ReloadableHost): void {
    this.host = host
    this.runRequested()
  }

  /** Requests that come during a read are carried out by one read after it. */
  reload (): void {
    this.isRequested = true
    this.runRequested()
  }

  private runRequested (): void {
    const { host } = this
    if (host === undefined || !this.isRequested || this.isReading) return
    this.isRequested = false
    this.isReading = true
    this.readSettings().then(
      settings => {
        // Defaults in the place of unreadable values are for the start; a host that runs has better ones.
        const { replacedSettings = [] } = settings
        if (replacedSettings.length > 0) host.recordSettingsFault(new SettingsError(replacedSettings).message)
        else host.applySettings(settings)
      },
      error => { host.recordSettingsFault((error as Error).message) }
    ).finally(() => {
      this.isReading = false
      this.runRequested()
    })
  }
}
