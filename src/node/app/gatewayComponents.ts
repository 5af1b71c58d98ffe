import type { Clock } from '../../types/clock.js'
import type { ConfigurationHolder } from '../gateway/configuration/configurationHolder.js'
import type { HostDirectory } from '../gateway/hosts/hostDirectory.js'
import type { HostRegistrar } from '../gateway/hosts/hostRegistrar.js'
import type { HostSettingsHolder } from '../gateway/hosts/hostSettingsHolder.js'
import type { IngressServer } from '../gateway/ingress/ingressServer.js'
import type { Logger } from '../../types/logger.js'
import type { PrefixWatcher } from '../gateway/store/prefixWatcher.js'
import type { StageDispatcher } from '../gateway/stages/stageDispatcher.js'
import type { StatusServer } from '../gateway/ingress/statusServer.js'
import type { UpstreamDirectory } from '../gateway/upstreams/upstreamDirectory.js'

/** Components of a gateway host. */
export interface GatewayComponents {
  readonly settings: HostSettingsHolder
  readonly logger: Logger
  readonly clock: Clock
  readonly configuration: ConfigurationHolder
  readonly upstreams: UpstreamDirectory
  readonly hosts: HostDirectory
  readonly registrar: HostRegistrar
  readonly dispatcher: StageDispatcher
  readonly ingress: IngressServer
  readonly readinessServer: StatusServer
  /** Undefined when the host does not answer address queries. */
  readonly directoryServer?: StatusServer
  readonly metricsServer: StatusServer
  /** `ip:port`. */
  readonly metricsAddress: string
  readonly configurationWatcher: PrefixWatcher
  readonly upstreamWatcher: PrefixWatcher
  readonly hostWatcher: PrefixWatcher
  readonly transport: { start (address: string): Promise<number>, stop (): Promise<void> }
  readonly storeClient: { close (): void }
}
