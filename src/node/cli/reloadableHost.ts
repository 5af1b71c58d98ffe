import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { RunningHost } from './runningHost.js'

/** A host whose settings can be replaced while it runs. */
export interface ReloadableHost extends RunningHost {
  applySettings (settings: HostSettings): void
  /** Logs that the settings could not be reloaded; the old ones stay in force. */
  recordSettingsFault (message: string): void
}
