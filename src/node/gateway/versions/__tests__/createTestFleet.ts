import { createMemoryMetrics } from '../../../../../playground/fakes/createMemoryMetrics.js'
import { createSilentLogger } from '../../../../../playground/fakes/createSilentLogger.js'
import { MemoryStore } from '../../../../../playground/fakes/memoryStore.js'
import { StoreEra } from '../../store/storeEra.js'
import { StreamVersions } from '../streamVersions.js'
import { VirtualClock } from '../../../../../playground/fakes/virtualClock.js'
import type { StoreItem } from '../../model/storeItem.js'

const prefix = 'streams/'
const service = 'llm'
const { signal } = new AbortController()

/** Creates a store and hosts that follow it, whose store goes back to copies and which end and start at any time. */
export function createTestFleet () {
  const store = new MemoryStore()
  const clock = new VirtualClock()
  const logger = createSilentLogger()
  const metrics = createMemoryMetrics()
  /** Versions of the upstreams of the service. */
  const state = { served: ['v1', 'v1', 'v2'] }
  const hosts = new Map<string, { readonly versions: StreamVersions, readonly storeEra: StoreEra }>()
  const cutOffIds = new Set<string>()

  const addHost = (hostId: string): void => {
    const storeEra = new StoreEra(logger, metrics)
    storeEra.observeAnswer(store.era, undefined)
    const versions = new StreamVersions({
      store,
      storeEra,
      prefix,
      listVersions: () => state.served,
      countHosts: () => hosts.size,
      hostId,
      listHostIds: () => [...hosts.keys()],
      clock,
      timers: clock,
      logger,
      metrics
    })
    hosts.set(hostId, { versions, storeEra })
    versions.start()
    versions.applySnapshot(store.listItems())
  }
  const killHost = (hostId: string): void => {
    hosts.get(hostId)?.versions.stop()
    hosts.delete(hostId)
  }
  /** Lets all hosts read the store, as their watches do. */
  const readAll = (): void => {
    for (const [hostId, { versions, storeEra }] of hosts) {
      if (cutOffIds.has(hostId)) continue
      storeEra.observeAnswer(store.era, undefined)
      versions.applySnapshot(store.listItems())
    }
  }
  const runFor = async (ms: number): Promise<void> => {
    for (let i = 0; i < ms; i += 100) {
      await clock.runFor(100)
      readAll()
    }
  }
  const start = async (hostId: string, id: string, version: string): Promise<boolean> => {
    const isAdmitted = hosts.get(hostId)!.versions.admitStart(service, id, version)
    await clock.runFor(50)
    return await isAdmitted
  }
  /** Version at which a host would continue a stream; undefined when it refuses to. */
  const resume = async (hostId: string, id: string): Promise<string | undefined> => {
    const origin = await hosts.get(hostId)!.versions.findOrigin(service, id, signal)
    return origin.type === 'known' ? origin.version : undefined
  }
  const restore = (copy: readonly StoreItem[]): void => {
    store.applyCopy(copy)
    readAll()
  }
  /** The host does not follow the store until it is reached again. */
  const cutOff = (hostId: string): void => { cutOffIds.add(hostId) }
  const reachAgain = (hostId: string): void => {
    cutOffIds.delete(hostId)
    readAll()
  }
  const stop = (): void => { for (const hostId of [...hosts.keys()]) killHost(hostId) }
  return { store, state, addHost, killHost, cutOff, reachAgain, runFor, start, resume, restore, stop }
}
