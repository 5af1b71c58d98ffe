import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { RunningHost } from './runningHost.js'

/** A host whose settings can be replaced while it runs. */
export interface ReloadableHost extends RunningHost {
  applySettings (settings: HostSettings): void
  /** The settings could not be read again; the old ones stay in force. */
  recordSettingsFault (message: string): void
}
