import type { CellRegistry } from '../gateway/stages/cellRegistry.js'
import type { Clock } from '../../types/clock.js'
import type { ConfigurationHolder } from '../gateway/configuration/configurationHolder.js'
import type { CrashReporter } from '../gateway/crashes/crashReporter.js'
import type { ErrorGuard } from './errorGuard.js'
import type { HostDirectory } from '../gateway/hosts/hostDirectory.js'
import type { HostRegistrar } from '../gateway/hosts/hostRegistrar.js'
import type { HostSettingsHolder } from '../gateway/hosts/hostSettingsHolder.js'
import type { IngressServer } from '../gateway/ingress/ingressServer.js'
import type { MemoryWatch } from '../gateway/memory/memoryWatch.js'
import type { OutdatedItemFilter } from '../gateway/store/outdatedItemFilter.js'
import type { PeerSecretKeeper } from '../gateway/hosts/peerSecretKeeper.js'
import type { Logger } from '../../types/logger.js'
import type { RelayClient } from '../gateway/relays/relayClient.js'
import type { RelayServer } from '../gateway/relays/relayServer.js'
import type { StoreWatcher } from '../gateway/store/storeWatcher.js'
import type { StageClient } from '../gateway/stages/stageClient.js'
import type { StatusServer } from '../gateway/ingress/statusServer.js'
import type { UpstreamReachability } from '../gateway/relays/upstreamReachability.js'
import type { StreamVersions } from '../gateway/versions/streamVersions.js'
import type { UpstreamDirectory } from '../gateway/upstreams/upstreamDirectory.js'

/** Components of a gateway host. */
export interface GatewayComponents {
  readonly settings: HostSettingsHolder
  readonly crashReporter: CrashReporter
  readonly streamVersions: StreamVersions
  readonly reachability: UpstreamReachability
  readonly relayClient: RelayClient
  readonly relayServer: RelayServer
  readonly secretKeeper: PeerSecretKeeper
  readonly logger: Logger
  readonly clock: Clock
  readonly configuration: ConfigurationHolder
  readonly upstreams: UpstreamDirectory
  readonly hosts: HostDirectory
  readonly registrar: HostRegistrar
  readonly cells: CellRegistry
  readonly stages: StageClient
  readonly ingress: IngressServer
  readonly readinessServer: StatusServer
  /** Undefined when the host does not answer address queries. */
  readonly directoryServer?: StatusServer
  readonly metricsServer: StatusServer
  /** `ip:port`. */
  readonly metricsAddress: string
  readonly storeWatcher: StoreWatcher
  readonly outdatedItemFilters: readonly OutdatedItemFilter[]
  readonly transport: { start (address: string): Promise<number>, stop (): Promise<void> }
  readonly storeClient: { close (): void }
  readonly memoryWatch: MemoryWatch
  readonly errorGuard: ErrorGuard
}
