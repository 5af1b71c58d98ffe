import { chooseTarget } from '../ingress/chooseTarget.js'
import { chooseUpstream } from '../upstreams/chooseUpstream.js'
import { computeUpstreamCost } from '../upstreams/computeUpstreamCost.js'
import { findEngineRefusal } from '../ingress/findEngineRefusal.js'
import { ingressConstants } from '../ingress/constants.js'
import type { ClientAccount } from '../model/clientAccount.js'
import type { Clock } from '../../../types/clock.js'
import type { ConfigurationHolder } from '../configuration/configurationHolder.js'
import type { EngineCapacities } from '../capacity/engineCapacities.js'
import type { EnginePlanner } from '../engines/enginePlanner.js'
import type { NamedBlock } from '../conditions/namedBlock.js'
import type { PlacementAnswer } from './placementAnswer.js'
import type { PlacementFailure } from './placementFailure.js'
import type { PlacementQuery } from './placementQuery.js'
import type { Route } from '../model/route.js'
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface ExplainerOptions {
  readonly hostId: string
  readonly failureDomain: string
  readonly configuration: Pick<ConfigurationHolder, 'getCurrent' | 'findRoute'>
  readonly directory: Pick<UpstreamDirectory, 'listService' | 'listUsable' | 'describeBlocks'>
  readonly engines: Pick<EnginePlanner, 'explainChoice'>
  readonly capacities: EngineCapacities
  /** Software version at which streams of a service have to begin; undefined when any will do. */
  readonly findRequiredVersion: (service: string) => string | undefined
  readonly clock: Clock
}

type UpstreamPlacement = PlacementAnswer['upstreams'][number]

interface Choice {
  /** Costs by part at the upstreams that the request may be placed on, by upstream id. */
  readonly costs: ReadonlyMap<string, Readonly<Record<string, number>>>
  readonly chosenId: string | undefined
}

/**
 * Tells where a request would go now, and why not elsewhere. Reserves and records nothing. Between equal plain upstreams,
 * a request chooses at random; the engine of a request with stages is chosen by the host that schedules them.
 */
export class PlacementExplainer {
  constructor (private readonly options: ExplainerOptions) {}

  explainPlacement (query: PlacementQuery): PlacementAnswer | PlacementFailure {
    const { configuration, directory, hostId } = this.options
    if (configuration.getCurrent() === undefined) {
      return { status: 503, code: 'not_ready', message: 'no configuration is in force' }
    }
    const route = configuration.findRoute(query.hostName, query.path)
    if (route === undefined) return { status: 404, code: 'unknown_route', message: `no route has ${query.hostName}${query.path}` }
    const service = chooseTarget(route.targets, query.requestId)
    const version = route.isResumable ? this.options.findRequiredVersion(service) : undefined
    const { costs, chosenId } = route.callKind === 'stream'
      ? this.explainEngines(service, version, query)
      : this.explainPlain(service, version)
    const upstreams = directory.listService(service).map(upstream => this.explainUpstream(upstream, costs.get(upstream.entry.id)))
    const refusal = this.explainRefusal(route, service, version, query)
    return { host: hostId, route: route.name, service, refusal, chosen: chosenId ?? null, upstreams }
  }

  /** Tells why the engines would not take the request; one with a short time left counts as a retry. */
  private explainRefusal (
    route: Route,
    service: string,
    version: string | undefined,
    query: PlacementQuery
  ): PlacementAnswer['refusal'] {
    if (route.callKind !== 'stream') return null
    const { directory, capacities, clock } = this.options
    const { requestId, promptParts, promptTokens, timeLeftMs } = query
    const refusal = findEngineRefusal({
      service,
      engines: directory.listUsable(service, version),
      route,
      account: this.findAccount(query.account),
      request: { id: requestId, promptParts, promptTokens, timeLeftMs },
      timeLeftMs: Math.min((timeLeftMs ?? route.timeoutMs) - ingressConstants.responseMarginMs, route.timeoutMs),
      findDigest: () => undefined
    }, capacities, clock.readMonotonicMs(), false)
    if (refusal === undefined) return null
    const { cause, reason, retryAfterMs, figures } = refusal
    return { cause, reason, retryAfterMs: Math.ceil(retryAfterMs), figures }
  }

  /** An account that is not configured has no priority of its own. */
  private findAccount (name: string): ClientAccount | null {
    if (name === '') return null
    const accounts = this.options.configuration.getCurrent()?.accountsByKey
    return [...accounts?.values() ?? []].find(account => account.name === name) ?? { name }
  }

  private explainEngines (service: string, version: string | undefined, { promptTokens, promptParts }: PlacementQuery): Choice {
    const { engines, clock } = this.options
    const prompt = { tokens: promptTokens, parts: promptParts }
    const { costs, chosenId } = engines.explainChoice(service, prompt, version, clock.readMonotonicMs())
    return { costs: new Map([...costs].map(([id, cost]) => [id, { ...cost }])), chosenId }
  }

  /** The choice without its random factor. */
  private explainPlain (service: string, version: string | undefined): Choice {
    const { directory, failureDomain, clock } = this.options
    const usable = directory.listUsable(service, version)
    const random = (): number => 0.5
    const nowMs = clock.readMonotonicMs()
    return {
      costs: new Map(usable.map(upstream => [upstream.entry.id, { ...computeUpstreamCost(upstream, failureDomain, nowMs) }])),
      chosenId: chooseUpstream({ candidates: usable, failureDomain, random, nowMs })?.entry.id
    }
  }

  private explainUpstream (upstream: UpstreamState, cost: Readonly<Record<string, number>> | undefined): UpstreamPlacement {
    const { entry: { id, address, failureDomain, version }, pool } = upstream
    const own = this.options.directory.describeBlocks(id)
    const full: readonly NamedBlock[] = pool.hasFreeConnection() ? [] : [{ condition: 'no free connection', waitMs: Infinity }]
    // Too many ejected upstreams count as healthy, so the list of costs decides.
    const excluded = cost === undefined && own.length === 0 ? [{ condition: 'not eligible for this request', waitMs: Infinity }] : []
    const blocks = [...cost === undefined ? own : [], ...excluded, ...full]
    const isBlocked = blocks.length > 0
    return {
      id,
      address,
      failureDomain,
      version,
      blocks: blocks.map(({ condition, waitMs }) => ({ condition, waitMs: computeKnownWaitMs(waitMs) })),
      cost: isBlocked ? {} : buildRoundedCost(cost ?? {}),
      totalCost: isBlocked ? null : computeTotal(cost ?? {})
    }
  }
}

/** Null when it is not known how long a block lasts: one whose pause is over lasts until the next answer. */
function computeKnownWaitMs (waitMs: number): number | null {
  return waitMs > 0 && Number.isFinite(waitMs) ? Math.ceil(waitMs) : null
}

/** Engines have a sum of times, plain upstreams a time with factors. */
function computeTotal (cost: Readonly<Record<string, number>>): number {
  const isProduct = 'requestFactor' in cost
  const values = Object.values(cost)
  const total = isProduct
    ? values.reduce((product, value) => product * value, 1)
    : values.reduce((sum, value) => sum + value, 0)
  return computeRounded(total)
}

function buildRoundedCost (cost: Readonly<Record<string, number>>): Readonly<Record<string, number>> {
  return Object.fromEntries(Object.entries(cost).map(([name, value]) => [name, computeRounded(value)]))
}

function computeRounded (value: number): number {
  return Math.round(value * 100) / 100
}
