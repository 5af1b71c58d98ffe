import { decodeConfiguration } from '../platform/decodeConfiguration.js'
import { decodeEvacuatedDomain } from '../platform/decodeEvacuatedDomain.js'
import { decodeUpstreamEntry } from '../platform/decodeUpstreamEntry.js'
import { hostEntryCodec } from '../gateway/hosts/hostEntryCodec.js'
import { platformConstants } from '../platform/constants.js'
import type { CrashGuard } from '../gateway/crashes/crashGuard.js'
import type { EvacuatedCondition } from '../gateway/conditions/evacuatedCondition.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { GatewayContext } from './gatewayContext.js'
import type { StoreItem } from '../gateway/model/storeItem.js'
import type { StoreSections } from './storeSections.js'
import type { UpstreamEntry } from '../gateway/model/upstreamEntry.js'

interface SectionsOptions extends Pick<
  GatewayComponents,
  'configuration' | 'hosts' | 'upstreams' | 'registrar' | 'streamVersions' | 'secretKeeper'
> {
  readonly hostKey: string
  readonly evacuated: EvacuatedCondition
  readonly crashGuard: CrashGuard
  readonly onUpstreamsLoaded: () => void
}

/** Creates the receivers of store items, which decode them and pass them to the components. */
export function createStoreSections (context: GatewayContext, options: SectionsOptions): StoreSections {
  const { clock, logger } = context
  const { hostKey, configuration, evacuated, hosts, upstreams } = options
  const { registrar, crashGuard, streamVersions, secretKeeper, onUpstreamsLoaded } = options
  const { configurationKey, configurationPrefix, evacuationPrefix, upstreamPrefix, hostPrefix } = platformConstants
  const decodeUpstream = ({ key, value, revision }: StoreItem): UpstreamEntry | undefined => {
    const entry = decodeUpstreamEntry(key, value, revision)
    if (entry === undefined) logger.recordWarning('upstream entry not readable', { key, revision })
    return entry
  }
  const applyConfiguration = (item: StoreItem): void => {
    if (item.key !== configurationKey) return
    try {
      configuration.apply(decodeConfiguration(item.value))
    } catch (error) {
      const reason = (error as Error).message
      logger.recordError('configuration not readable', { revision: item.revision, reason })
    }
  }
  return {
    configuration: {
      prefix: configurationPrefix,
      onSnapshot: items => { items.forEach(applyConfiguration) },
      onChange: change => { if (change.type === 'written') applyConfiguration(change.item) }
    },
    evacuations: {
      prefix: evacuationPrefix,
      onSnapshot: items => { evacuated.applySnapshot(items.flatMap(item => decodeEvacuatedDomain(item.key) ?? [])) },
      onChange: change => {
        const domain = decodeEvacuatedDomain(change.type === 'written' ? change.item.key : change.key)
        if (domain === undefined) return
        if (change.type === 'written') evacuated.addDomain(domain)
        else evacuated.removeDomain(domain)
      }
    },
    upstreams: {
      prefix: upstreamPrefix,
      onSnapshot: (items, cause) => {
        const entries = items.map(decodeUpstream).filter(entry => entry !== undefined)
        upstreams.applySnapshot(entries, cause !== 'start')
        onUpstreamsLoaded()
      },
      onChange: change => {
        const id = (change.type === 'written' ? change.item.key : change.key).slice(upstreamPrefix.length)
        const entry = change.type === 'written' ? decodeUpstream(change.item) : undefined
        if (entry !== undefined) upstreams.applyEntry(entry)
        else upstreams.removeUpstream(id, change.type === 'removed' ? 'entry removed' : 'entry not readable')
      }
    },
    hosts: {
      prefix: hostPrefix,
      onSnapshot: (items, cause) => {
        const entries = items.map(item => hostEntryCodec.decode(item.value)).filter(entry => entry !== undefined)
        hosts.applySnapshot(entries, cause !== 'start', clock.readMonotonicMs())
      },
      onChange: change => {
        const entry = change.type === 'written' ? hostEntryCodec.decode(change.item.value) : undefined
        if ((change.type === 'written' ? change.item.key : change.key) === hostKey) registrar.onStored(entry)
        if (entry !== undefined) hosts.applyEntry(entry)
        else if (change.type === 'removed') hosts.removeHost(change.key.slice(hostPrefix.length))
      }
    },
    crashes: {
      prefix: platformConstants.crashReportPrefix,
      onSnapshot: (items, cause) => { crashGuard.applySnapshot(items, cause) },
      onChange: change => {
        if (change.type === 'written') crashGuard.applyReports([change.item])
        else crashGuard.removeReport(change.key)
      }
    },
    streamVersions: {
      prefix: platformConstants.streamVersionPrefix,
      onSnapshot: items => { streamVersions.applySnapshot(items) },
      onChange: change => { streamVersions.applyChange(change) }
    },
    secret: {
      prefix: platformConstants.peerSecretKey,
      onSnapshot: items => { secretKeeper.applySnapshot(items) },
      onChange: change => { secretKeeper.applyChange(change) }
    }
  }
}
