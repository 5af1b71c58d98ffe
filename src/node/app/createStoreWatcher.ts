import { computeHoldMs } from '../gateway/store/computeHoldMs.js'
import { computeWatchTimes } from '../gateway/store/computeWatchTimes.js'
import { OutdatedItemFilter } from '../gateway/store/outdatedItemFilter.js'
import { StoreWatcher } from '../gateway/store/storeWatcher.js'
import { systemScheduler } from '../../shared/systemScheduler.js'
import type { GatewayComponents } from './gatewayComponents.js'
import type { GatewayContext } from './gatewayContext.js'
import type { StoreSections } from './storeSections.js'

/** Creates the watcher that passes store items to the sections, with the filters for items that are out of date. */
export function createStoreWatcher (
  context: GatewayContext,
  sections: StoreSections,
  hosts: GatewayComponents['hosts']
): Pick<GatewayComponents, 'storeWatcher' | 'outdatedItemFilters'> {
  const { settingsHolder, store, storeEra, clock, random, logger, metrics } = context
  const filterOptions = { clock, timers: systemScheduler, logger }
  const getHoldMs = (): number => computeHoldMs(settingsHolder.get().timings.heartbeatMs)
  const evacuationFilter = new OutdatedItemFilter({
    section: sections.evacuations,
    getHoldMs: () => undefined,
    ...filterOptions
  })
  const upstreamFilter = new OutdatedItemFilter({ section: sections.upstreams, getHoldMs, ...filterOptions })
  const hostFilter = new OutdatedItemFilter({ section: sections.hosts, getHoldMs, ...filterOptions })
  const storeWatcher = new StoreWatcher({
    store,
    storeEra,
    logger,
    random,
    getTimes: () => {
      const times = computeWatchTimes(settingsHolder.get().timings, hosts.countHosts())
      metrics.setGauge('store_collect_ms', {}, times.coalesceMs)
      return times
    },
    // The secret comes first: other hosts are called as soon as they are known. Evacuations come before upstreams, with
    // which the host becomes ready, and before the configuration, whose prefix theirs begins with.
    sections: [
      sections.secret,
      evacuationFilter,
      sections.configuration,
      upstreamFilter,
      hostFilter,
      sections.crashes,
      sections.streamVersions
    ]
  })
  return { storeWatcher, outdatedItemFilters: [evacuationFilter, upstreamFilter, hostFilter] }
}
