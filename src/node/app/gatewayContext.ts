import type { Clock } from '../../types/clock.js'
import type { HostSettings } from '../gateway/model/hostSettings.js'
import type { HostSettingsHolder } from '../gateway/hosts/hostSettingsHolder.js'
import type { Logger } from '../../types/logger.js'
import type { Metrics } from '../../types/metrics.js'
import type { PlatformStore } from '../platform/platformStore.js'
import type { Random } from '../../types/random.js'
import type { StoreEra } from '../gateway/store/storeEra.js'

/** What all components of a gateway host share. */
export interface GatewayContext {
  /** The settings with which the host was started. */
  readonly settings: HostSettings
  /** The settings that apply now. */
  readonly settingsHolder: HostSettingsHolder
  readonly store: PlatformStore
  readonly storeEra: StoreEra
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly metrics: Metrics
}
