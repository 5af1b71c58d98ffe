import { CrashGuard } from '../gateway/crashes/crashGuard.js'
import { CrashReporter } from '../gateway/crashes/crashReporter.js'
import { HostRegistrar } from '../gateway/hosts/hostRegistrar.js'
import { PeerSecretKeeper } from '../gateway/hosts/peerSecretKeeper.js'
import { platformConstants } from '../platform/constants.js'
import { StreamVersions } from '../gateway/versions/streamVersions.js'
import { systemScheduler } from '../../shared/systemScheduler.js'
import type { EvacuatedCondition } from '../gateway/conditions/evacuatedCondition.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { GatewayContext } from './gatewayContext.js'

interface RecordsOptions extends Pick<GatewayComponents, 'hosts' | 'upstreams'> {
  readonly hostKey: string
  /** The secret with which this host starts. */
  readonly secret: string
  readonly evacuated: EvacuatedCondition
  readonly checkEnded: (address: string) => Promise<boolean>
  readonly onSecretReplaced: (secret: string) => void
}

interface StoreRecords extends Pick<
  GatewayComponents,
  'crashReporter' | 'streamVersions' | 'secretKeeper' | 'registrar'
> {
  readonly crashGuard: CrashGuard
}

/** Creates the components that write records to the store. */
export function createStoreRecords (context: GatewayContext, options: RecordsOptions): StoreRecords {
  const { store, storeEra, clock, random, logger, metrics } = context
  const { hostKey, secret, hosts, upstreams, evacuated, checkEnded, onSecretReplaced } = options
  const timers = systemScheduler
  const crashReporter = new CrashReporter({
    store,
    storeEra,
    prefix: platformConstants.crashReportPrefix,
    clock,
    timers,
    logger
  })
  const crashGuard = new CrashGuard({
    store,
    reporter: crashReporter,
    claimPrefix: platformConstants.promptTrialPrefix,
    checkEnded,
    clock,
    logger,
    metrics
  })
  const streamVersions = new StreamVersions({
    store,
    storeEra,
    prefix: platformConstants.streamVersionPrefix,
    listVersions: service => upstreams.listService(service).flatMap(({ entry }) => {
      return entry.isDraining || evacuated.has(entry.failureDomain) ? [] : [entry.version]
    }),
    countHosts: () => hosts.countHosts(),
    hostId: hosts.getSelf().id,
    listHostIds: () => hosts.listReady().map(host => host.id),
    clock,
    timers,
    logger,
    metrics
  })
  const secretKeeper = new PeerSecretKeeper({
    store,
    key: platformConstants.peerSecretKey,
    secret,
    onReplaced: onSecretReplaced,
    random,
    timers,
    logger
  })
  const registrar = new HostRegistrar({
    store,
    key: hostKey,
    logger,
    getEntry: () => hosts.getSelf(),
    countHosts: () => hosts.countHosts()
  })
  return { crashReporter, crashGuard, streamVersions, secretKeeper, registrar }
}
