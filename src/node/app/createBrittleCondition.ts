import { BrittleCondition } from '../gateway/conditions/brittleCondition.js'
import { BrittleShares } from '../gateway/conditions/brittleShares.js'
import { checkUpstreamAnswers } from '../gateway/relays/checkUpstreamAnswers.js'
import { decodeUpstreamResponse } from '../platform/decodeUpstreamResponse.js'
import type { Clock } from '../../types/clock.js'
import type { ConfigurationHolder } from '../gateway/configuration/configurationHolder.js'
import type { HostDirectory } from '../gateway/hosts/hostDirectory.js'
import type { Logger } from '../../types/logger.js'
import type { Metrics } from '../../types/metrics.js'
import type { Random } from '../../types/random.js'
import type { ServiceSpec } from '../gateway/model/serviceSpec.js'
import type { UpstreamDirectory } from '../gateway/upstreams/upstreamDirectory.js'
import type { UpstreamEntry } from '../gateway/model/upstreamEntry.js'

interface BrittleParts {
  readonly hostId: string
  readonly configuration: ConfigurationHolder
  /** This and `getUpstreams` are called after the components have been constructed. */
  readonly getHosts: () => HostDirectory
  readonly getUpstreams: () => UpstreamDirectory
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly random: Random
}

/** Builds the condition of brittle upstreams, and the shares of their places, which follow this host's readiness. */
export function createBrittleCondition (parts: BrittleParts): {
  readonly brittle: BrittleCondition,
  readonly brittleShares: BrittleShares
} {
  const { hostId, configuration, getHosts, getUpstreams, clock, logger, metrics, random } = parts
  const brittleShares = new BrittleShares(hostId, () => getHosts().listReady().map(host => host.id))
  const findSpec = (service: string): ServiceSpec | undefined => configuration.getCurrent()?.services.get(service)
  // The host that schedules a cell makes all stage calls of its upstreams.
  const isShared = (service: string): boolean => findSpec(service)?.stage === undefined
  const brittle = new BrittleCondition({
    logger,
    metrics,
    random,
    isShared,
    computePlaces: ({ entry }, maxRejections, nowMs) => {
      const slots = countSlots(entry, findSpec(entry.service))
      return isShared(entry.service) ? brittleShares.computePlaces(entry.id, slots, maxRejections, nowMs) : slots
    },
    checkHealth: service => { setImmediate(() => { checkHealth(service) }) }
  })
  /** Upstreams that other conditions hold back, such as evacuated ones, get no health check. */
  const checkHealth = (service: string): void => {
    const upstreams = getUpstreams()
    const open = upstreams.listService(service)
      .filter(({ entry }) => upstreams.describeBlocks(entry.id).every(({ condition }) => condition === brittle.name))
    const state = open[Math.floor(random() * open.length)]
    if (state === undefined) return
    const target = { address: state.entry.address, healthPath: findSpec(service)?.healthPath ?? '/' }
    void checkUpstreamAnswers(target, (status, headers) => {
      brittle.observeCheck(state, decodeUpstreamResponse(status, headers), clock.readMonotonicMs())
    })
  }
  return { brittle, brittleShares }
}

/** Requests that the upstream runs at the same time: the smallest number stated, and at least one. */
function countSlots ({ slots }: UpstreamEntry, spec: ServiceSpec | undefined): number {
  const stated = [slots, spec?.engine?.slots ?? Infinity, spec?.stage?.concurrentCalls ?? Infinity]
  return Math.max(Math.floor(Math.min(...stated)), 1)
}
