import { chooseEngine } from './chooseEngine.js'
import { computePrefillMs } from './computePrefillMs.js'
import { EngineLoads } from './engineLoads.js'
import { PromptCacheIndex } from './promptCacheIndex.js'
import type { EngineDemand } from './engineDemand.js'
import type { EnginePrompt } from './enginePrompt.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/**
 * Chooses engines and tracks the requests that it has placed: which prompt parts each engine has read, and its prefill
 * backlog. The scheduling host has one planner for all requests with stages; each host has one for its other requests.
 */
export class EnginePlanner {
  private readonly cache = new PromptCacheIndex()
  private readonly loads = new EngineLoads()

  /** `listEngines` lists the usable engines of a service for a prompt, of one software version unless it is undefined. */
  constructor (
    private readonly listEngines: (service: string, prompt: EnginePrompt, version?: string) => readonly UpstreamState[]
  ) {}

  /** Chooses an engine for a request and records the request there; undefined without a usable engine. */
  placeRequest ({ service, prompt, inputs, excludedIds, version }: EngineDemand, nowMs: number): UpstreamState | undefined {
    const engines = this.listEngines(service, prompt, version)
    const untried = engines.filter(state => !excludedIds.has(state.entry.id))
    const engine = this.chooseAmong(untried.length > 0 ? untried : engines, prompt, inputs, nowMs)
    if (engine === undefined) return undefined
    const { id } = engine.entry
    this.loads.recordPrompt(id, computePrefillMs(prompt.tokens - this.cache.countCachedTokens(id, prompt.parts, nowMs)), nowMs)
    this.cache.recordPrompt(id, prompt.parts, nowMs)
    return engine
  }

  /** Failure domain of the engine that would be chosen for a request now; empty without one. */
  findDomain (service: string, prompt: EnginePrompt, nowMs: number): string {
    return this.chooseAmong(this.listEngines(service, prompt), prompt, { domain: '', bytes: 0 }, nowMs)?.entry.failureDomain ?? ''
  }

  /** Removes an engine that is gone; one that comes back has an empty cache. */
  removeEngine (engineId: string): void {
    this.cache.removeEngine(engineId)
    this.loads.removeEngine(engineId)
  }

  private chooseAmong (
    candidates: readonly UpstreamState[],
    prompt: EnginePrompt,
    inputs: EngineDemand['inputs'],
    nowMs: number
  ): UpstreamState | undefined {
    return chooseEngine({
      candidates,
      cache: this.cache,
      loads: this.loads,
      prompt,
      inputDomain: inputs.domain,
      inputBytes: inputs.bytes,
      nowMs
    })
  }
}
