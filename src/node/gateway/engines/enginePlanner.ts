import { chooseEngine } from './chooseEngine.js'
import { computeEngineCost } from './computeEngineCost.js'
import { computeHomeMargin } from './computeHomeMargin.js'
import { createCacheCounter } from './createCacheCounter.js'
import { EngineCapacities } from '../capacity/engineCapacities.js'
import { engineConstants } from './constants.js'
import { EngineIndex } from './engineIndex.js'
import { EngineLoads } from './engineLoads.js'
import { listComparedEngines } from './listComparedEngines.js'
import { PromptCacheIndex } from './promptCacheIndex.js'
import type { CostOptions } from './costOptions.js'
import type { EngineDemand } from './engineDemand.js'
import type { EngineExplanation } from './engineExplanation.js'
import type { EnginePlacement } from './enginePlacement.js'
import type { EnginePrompt } from './enginePrompt.js'
import type { PromptPart } from '../model/promptPart.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

interface ChoiceOptions extends CostOptions {
  /** Lists engines that have a part of the prompt in their cache. */
  readonly listCaching: () => readonly UpstreamState[]
}

type PlannerDemand = Pick<EngineDemand, 'service' | 'prompt' | 'inputs'>

/**
 * Chooses engines and tracks the requests that it has placed: which prompt parts each engine has read, and its prefill
 * backlog. The scheduling host has one planner for all requests with stages; each host has one for its other requests.
 */
export class EnginePlanner {
  private readonly cache = new PromptCacheIndex()
  private readonly loads = new EngineLoads()
  /** By the list of engines, which is the same one until it changes. */
  private readonly indexes = new WeakMap<readonly UpstreamState[], EngineIndex>()
  /** Choices so far, from which the next one begins among many engines. */
  private choiceCount = 0

  /**
   * `listEngines` lists the usable engines of a service for a prompt, of one software version unless it is undefined. All
   * planners of a host share `capacities`, which are learned from the requests of its own clients.
   */
  constructor (
    private readonly listEngines: (service: string, prompt: EnginePrompt, version?: string) => readonly UpstreamState[],
    private readonly capacities = new EngineCapacities()
  ) {}

  /** Chooses an engine for a request and records the request there; undefined without a usable engine. */
  placeRequest (demand: EngineDemand, nowMs: number): EnginePlacement | undefined {
    const { service, prompt, inputs, excludedIds, version } = demand
    const engines = this.listEngines(service, prompt, version)
    const untried = excludedIds.size === 0 ? engines : engines.filter(state => !excludedIds.has(state.entry.id))
    const candidates = untried.length > 0 ? untried : engines
    const options = this.createCostOptions(candidates, { service, prompt, inputs }, nowMs)
    const engine = this.chooseAmong(candidates, options)
    if (engine === undefined) return undefined
    const { id } = engine.entry
    const backlogMs = this.loads.computePrefillBacklogMs(id, nowMs)
    const leastTokens = prompt.tokens - options.countCachedTokens(id)
    const mostTokens = prompt.tokens - this.cache.countCachedTokens(id, prompt.parts, nowMs)
    const prefillMs = this.capacities.getService(service).computeReadMs(id, mostTokens, engine.inFlight, nowMs)
    this.loads.recordPrompt(id, prefillMs, nowMs)
    this.cache.recordPrompt(id, prompt.parts, nowMs)
    // Whether other hosts' requests have left the shared parts at the home engine is not known, so the mean counts.
    return { engine, readTokens: (leastTokens + mostTokens) / 2, backlogMs }
  }

  /** Failure domain of the engine that would be chosen for a request now; empty without one. */
  findDomain (service: string, prompt: EnginePrompt, nowMs: number): string {
    const engines = this.listEngines(service, prompt)
    const demand = { service, prompt, inputs: { domain: '', bytes: 0 } }
    return this.chooseAmong(engines, this.createCostOptions(engines, demand, nowMs))?.entry.failureDomain ?? ''
  }

  /** Tells which engine would be chosen for a request without stage results now, and the costs by part. Records nothing. */
  explainChoice (service: string, prompt: EnginePrompt, version: string | undefined, nowMs: number): EngineExplanation {
    const engines = this.listEngines(service, prompt, version)
    const options = this.createCostOptions(engines, { service, prompt, inputs: { domain: '', bytes: 0 } }, nowMs)
    return {
      chosenId: chooseCompared(engines, options, this.choiceCount + 1)?.entry.id,
      costs: new Map(engines.map(engine => [engine.entry.id, computeEngineCost(engine, options)]))
    }
  }

  /** Removes an engine that is gone; one that comes back has an empty cache. */
  removeEngine (engineId: string): void {
    this.cache.removeEngine(engineId)
    this.loads.removeEngine(engineId)
  }

  private chooseAmong (candidates: readonly UpstreamState[], options: ChoiceOptions): UpstreamState | undefined {
    this.choiceCount++
    return chooseCompared(candidates, options, this.choiceCount)
  }

  private createCostOptions (
    candidates: readonly UpstreamState[],
    demand: PlannerDemand,
    nowMs: number
  ): ChoiceOptions {
    const { service, prompt, inputs } = demand
    const capacity = this.capacities.getService(service)
    const index = this.getIndex(candidates)
    const home = index.findHome(prompt.parts)
    const countCachedTokens = createCacheCounter(this.cache, home?.entry.id, prompt.parts, nowMs)
    const homeMargin = home === undefined
      ? undefined
      : computeHomeMargin({ home, cachedTokens: countCachedTokens(home.entry.id), capacity, nowMs })
    return {
      countCachedTokens,
      listCaching: () => this.listCaching(index, home, prompt.parts, nowMs),
      homeMargin,
      loads: this.loads,
      capacity,
      prompt,
      inputDomain: inputs.domain,
      inputBytes: inputs.bytes,
      nowMs
    }
  }

  /** The home engine, and engines of the list that have read a part of the prompt. */
  private listCaching (
    index: EngineIndex,
    home: UpstreamState | undefined,
    parts: readonly PromptPart[],
    nowMs: number
  ): readonly UpstreamState[] {
    const engineIds = this.cache.listEngineIds(parts, engineConstants.maxComparedEngines, nowMs)
    return [home ?? [], ...engineIds.map(id => index.find(id) ?? [])].flat()
  }

  private getIndex (engines: readonly UpstreamState[]): EngineIndex {
    const known = this.indexes.get(engines)
    if (known !== undefined) return known
    const index = new EngineIndex(engines)
    this.indexes.set(engines, index)
    return index
  }
}

/** Chooses among the engines that are compared at `offset`; among all when none of these has a free connection. */
function chooseCompared (
  candidates: readonly UpstreamState[],
  options: ChoiceOptions,
  offset: number
): UpstreamState | undefined {
  const compared = listComparedEngines(candidates, options.listCaching, offset)
  const engine = chooseEngine({ ...options, candidates: compared })
  return engine === undefined && compared.length < candidates.length ? chooseEngine({ ...options, candidates }) : engine
}
