import { chooseEngine } from './chooseEngine.js'
import { computePrefillMs } from './computePrefillMs.js'
import { EngineLoads } from './engineLoads.js'
import { PromptCacheIndex } from './promptCacheIndex.js'
import type { EngineDemand } from './engineDemand.js'
import type { EnginePrompt } from './enginePrompt.js'
import type { UpstreamState } from '../upstreams/upstreamState.js'

/**
 * Chooses engines with a view of all requests that this planner has placed: what each engine has read and how long it
 * still reads. The scheduling host of the stages has one for all requests with stages; each host has one for the rest.
 */
export class EnginePlanner {
  private readonly cache = new PromptCacheIndex()
  private readonly loads = new EngineLoads()

  constructor (private readonly listEngines: (service: string) => readonly UpstreamState[]) {}

  /** Places a request and remembers it; undefined without a usable engine. */
  placeRequest ({ service, prompt, inputs, excludedIds }: EngineDemand, nowMs: number): UpstreamState | undefined {
    const usable = this.listEngines(service)
    const fresh = usable.filter(state => !excludedIds.has(state.entry.id))
    const engine = this.chooseAmong(fresh.length > 0 ? fresh : usable, prompt, inputs, nowMs)
    if (engine === undefined) return undefined
    const { id } = engine.entry
    this.loads.recordPrompt(id, computePrefillMs(prompt.tokens - this.cache.countCachedTokens(id, prompt.parts, nowMs)), nowMs)
    this.cache.recordPrompt(id, prompt.parts, nowMs)
    return engine
  }

  /** Failure domain of the engine that a request would get now; empty without one. */
  findDomain (service: string, prompt: EnginePrompt, nowMs: number): string {
    return this.chooseAmong(this.listEngines(service), prompt, { domain: '', bytes: 0 }, nowMs)?.entry.failureDomain ?? ''
  }

  /** The engine is gone; an engine that comes back holds nothing. */
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
