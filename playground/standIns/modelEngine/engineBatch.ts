import type { EngineStream } from './engineStream.js'
import { PrefixCache } from './prefixCache.js'

interface BatchOptions {
  readonly slots: number
  /** Time in which every running stream gains one token. */
  readonly stepMs: number
  readonly prefillMsPer1kChars: number
  readonly cacheChars: number
}

/**
 * Continuous batching: all running streams gain a token in each step, a free slot goes to the waiting
 * stream of the highest priority. No I/O; time is an argument.
 */
export class EngineBatch {
  readonly cache: PrefixCache
  private readonly running = new Set<EngineStream>()
  private readonly waiting: EngineStream[] = []
  private lastStepMs = 0
  private slowFactor = 1

  constructor (private readonly options: BatchOptions) {
    this.cache = new PrefixCache(options.cacheChars)
  }

  get runningCount (): number {
    return this.running.size
  }

  get waitingCount (): number {
    return this.waiting.length
  }

  /** Share of the KV cache in use, 0 to 1. */
  get kvUsed (): number {
    return Math.min(1, this.cache.usedChars / this.options.cacheChars)
  }

  setSlowFactor (slowFactor: number): void {
    this.slowFactor = slowFactor
  }

  addStream (stream: EngineStream, nowMs: number): void {
    const position = this.waiting.findIndex(other => other.priority < stream.priority)
    this.waiting.splice(position === -1 ? this.waiting.length : position, 0, stream)
    this.startWaitingStreams(nowMs)
  }

  cancelStream (stream: EngineStream, nowMs: number): void {
    const position = this.waiting.indexOf(stream)
    if (position !== -1) this.waiting.splice(position, 1)
    this.running.delete(stream)
    stream.state = 'cancelled'
    stream.endedAtMs = nowMs
    this.startWaitingStreams(nowMs)
  }

  /** Carries out the steps that are due by `nowMs` and returns the streams that gained tokens. */
  runSteps (nowMs: number): readonly EngineStream[] {
    const stepMs = this.options.stepMs * this.slowFactor
    const steps = Math.floor((nowMs - this.lastStepMs) / stepMs)
    if (steps <= 0 || this.running.size === 0) return []
    const endMs = this.lastStepMs + steps * stepMs
    const gained: EngineStream[] = []
    for (const stream of this.running) {
      const from = Math.max(this.lastStepMs, stream.prefillEndsAtMs)
      const count = Math.min(Math.floor((endMs - from) / stepMs + 1e-6), stream.totalTokens - stream.producedTokens)
      if (count <= 0 && stream.totalTokens > stream.producedTokens) continue
      stream.producedTokens += count
      gained.push(stream)
      if (stream.producedTokens >= stream.totalTokens) this.endStream(stream, nowMs)
    }
    this.lastStepMs = endMs
    this.startWaitingStreams(nowMs)
    return gained
  }

  /** Time of the next step, undefined when nothing runs. */
  computeNextStepMs (): number | undefined {
    return this.running.size === 0 ? undefined : this.lastStepMs + this.options.stepMs * this.slowFactor
  }

  private endStream (stream: EngineStream, nowMs: number): void {
    this.running.delete(stream)
    stream.state = 'completed'
    stream.endedAtMs = nowMs
  }

  private startWaitingStreams (nowMs: number): void {
    if (this.running.size === 0) this.lastStepMs = nowMs
    while (this.running.size < this.options.slots && this.waiting.length > 0) {
      const stream = this.waiting.shift() as EngineStream
      const uncached = stream.prompt.length - this.cache.countCachedChars(stream.prompt)
      stream.state = 'running'
      stream.prefillEndsAtMs = nowMs + uncached / 1000 * this.options.prefillMsPer1kChars * this.slowFactor
      this.cache.addPrompt(stream.prompt, nowMs)
      this.running.add(stream)
    }
  }
}
