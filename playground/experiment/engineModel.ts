import type { EnginePrompt } from '../../src/node/gateway/engines/enginePrompt.js'
import type { EngineServiceModel } from './engineServiceModel.js'
import type { UpstreamNoise } from './upstreamNoise.js'
import type { VirtualClock } from '../fakes/virtualClock.js'

interface EngineRequest {
  readonly prompt: EnginePrompt
  readonly events: number
  readonly inputs: readonly string[]
  readonly onRefused: () => void
  readonly onFirstEvent: () => void
  readonly onEnd: () => void
}

/** Time from the arrival of a request until the results of its stages are fetched. */
const inputFetchMs = 5

/** Simulates a model engine: one batch of requests, prompts prefilled one after another, and an LRU cache of prompt parts. */
export class EngineModel {
  /** Prompt tokens that were prefilled because they were not cached. */
  prefilledTokens = 0
  private readonly cache = new Map<string, number>()
  private cachedTokens = 0
  private running = 0
  private prefillEndsAtMs = 0
  private readonly waiting: EngineRequest[] = []

  constructor (
    private readonly spec: EngineServiceModel,
    private readonly noise: UpstreamNoise,
    private readonly clock: VirtualClock,
    private readonly results: ReadonlyMap<string, unknown>
  ) {}

  /** Adds an arriving request. Calls `onRefused` when one of its inputs is gone, otherwise `onFirstEvent` and then `onEnd`. */
  addRequest (request: EngineRequest): void {
    this.clock.schedule(inputFetchMs, () => {
      if (request.inputs.some(handle => !this.results.has(handle))) return request.onRefused()
      this.waiting.push(request)
      this.startNext()
    })
  }

  private startNext (): void {
    if (this.running >= this.spec.slots) return
    const request = this.waiting.shift()
    if (request === undefined) return
    this.running++
    const nowMs = this.clock.readMonotonicMs()
    const prefillMs = this.addPrompt(request.prompt) / this.spec.prefillTokensPerMs * this.computeSlowdown(nowMs)
    this.prefillEndsAtMs = Math.max(this.prefillEndsAtMs, nowMs) + prefillMs
    this.clock.schedule(this.prefillEndsAtMs + this.spec.firstEventMs - nowMs, () => { this.runStream(request) })
  }

  private runStream (request: EngineRequest): void {
    request.onFirstEvent()
    const { stepMs, stepMsPerRequest, tokensPerEvent } = this.spec
    const eventMs = tokensPerEvent * (stepMs + stepMsPerRequest * this.running) * this.computeSlowdown(this.clock.readMonotonicMs())
    this.clock.schedule(eventMs * (request.events - 1), () => {
      this.running--
      request.onEnd()
      this.startNext()
    })
  }

  private computeSlowdown (nowMs: number): number {
    return Math.min(this.noise.computeFactor(nowMs), 10)
  }

  /**
   * Adds the parts of a prompt to the cache and returns the number of tokens to prefill. A cached part saves its
   * tokens only when all parts before it are cached.
   */
  private addPrompt ({ tokens, parts }: EnginePrompt): number {
    let cached = 0
    for (const part of parts) {
      const partTokens = this.cache.get(part.id)
      if (partTokens === undefined) break
      cached += partTokens
    }
    for (const part of parts) this.addPart(part.id, part.tokens)
    this.prefilledTokens += tokens - cached
    return tokens - cached
  }

  /** Adds a part as the most recently used one and evicts the least recently used parts that no longer fit. */
  private addPart (id: string, tokens: number): void {
    this.cachedTokens += tokens - (this.cache.get(id) ?? 0)
    this.cache.delete(id)
    this.cache.set(id, tokens)
    for (const [oldId, oldTokens] of this.cache) {
      if (this.cachedTokens <= this.spec.cacheTokens) break
      this.cache.delete(oldId)
      this.cachedTokens -= oldTokens
    }
  }
}
