import type { EngineStream } from './engineStream.js'
import { PrefixCache } from './prefixCache.js'

interface BatchOptions {
  readonly slots: number
  /** Duration of a decoding step, in which every running stream generates one token. */
  readonly stepMs: number
  readonly prefillMsPer1kChars: number
  readonly cacheChars: number
}

/**
 * Simulates continuous batching: every running stream generates one token per step, and a free slot
 * goes to the waiting stream with the highest priority. It does no I/O and takes the time as an argument.
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

  /** Runs the steps that are due by `nowMs` and returns the streams that generated tokens or ended. */
  runSteps (nowMs: number): readonly EngineStream[] {
    const stepMs = this.options.stepMs * this.slowFactor
    const steps = Math.floor((nowMs - this.lastStepMs) / stepMs)
    if (steps <= 0 || this.running.size === 0) return []
    const endMs = this.lastStepMs + steps * stepMs
    const advanced: EngineStream[] = []
    for (const stream of this.running) {
      const startMs = Math.max(this.lastStepMs, stream.prefillEndsAtMs)
      const tokenCount = Math.min(Math.floor((endMs - startMs) / stepMs + 1e-6), stream.totalTokens - stream.producedTokens)
      if (tokenCount <= 0 && stream.totalTokens > stream.producedTokens) continue
      stream.producedTokens += tokenCount
      advanced.push(stream)
      if (stream.producedTokens >= stream.totalTokens) this.endStream(stream, nowMs)
    }
    this.lastStepMs = endMs
    this.startWaitingStreams(nowMs)
    return advanced
  }

  /** Time of the next step; undefined when no stream is running. */
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
      const uncachedChars = stream.prompt.length - this.cache.countCachedChars(stream.prompt)
      stream.state = 'running'
      stream.prefillEndsAtMs = nowMs + uncachedChars / 1000 * this.options.prefillMsPer1kChars * this.slowFactor
      this.cache.addPrompt(stream.prompt, nowMs)
      this.running.add(stream)
    }
  }
}
