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

/** A model engine: a batch of requests, prompts that are read one after another, and a cache of prompt parts. */
export class EngineModel {
  /** Prompt tokens that were read, and those of shared parts among them. */
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

  /** A request arrives; it ends with `onRefused` or `onEnd`. */
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

  /** Tokens that have to be read. A part helps only when all parts before it are cached. */
  private addPrompt ({ tokens, parts }: EnginePrompt): number {
    let cached = 0
    for (const part of parts) {
      const held = this.cache.get(part.id)
      if (held === undefined) break
      cached += held
    }
    for (const part of parts) this.addPart(part.id, part.tokens)
    this.prefilledTokens += tokens - cached
    return tokens - cached
  }

  /** The least recently used parts yield. */
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
