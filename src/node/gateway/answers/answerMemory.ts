import { chooseEvictedAnswer } from './chooseEvictedAnswer.js'
import type { HeldAnswer } from './heldAnswer.js'
import type { Logger } from '../../../types/logger.js'
import type { Metrics } from '../../../types/metrics.js'

interface MemoryOptions {
  readonly limitBytes: number
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Bounds the memory of all answers of a host together; the limit of a single one does not when there are many. */
export class AnswerMemory {
  private readonly held = new Map<HeldAnswer, number>()
  private heldBytes = 0

  constructor (private readonly options: MemoryOptions) {}

  /** Bytes that all answers hold. */
  get totalBytes (): number {
    return this.heldBytes
  }

  /** Sets what an answer holds. May evict answers, this one included. */
  update (answer: HeldAnswer, bytes: number): void {
    this.setBytes(answer, bytes)
    if (this.heldBytes > this.options.limitBytes) this.evictAnswers()
  }

  remove (answer: HeldAnswer): void {
    this.setBytes(answer, 0)
  }

  private setBytes (answer: HeldAnswer, bytes: number): void {
    this.heldBytes += bytes - (this.held.get(answer) ?? 0)
    if (bytes === 0) this.held.delete(answer)
    else this.held.set(answer, bytes)
  }

  private evictAnswers (): void {
    // What clients have read since the last update is not held any more.
    for (const answer of [...this.held.keys()]) this.setBytes(answer, answer.countBytes())
    const { limitBytes, logger, metrics } = this.options
    while (this.heldBytes > limitBytes) {
      const answer = chooseEvictedAnswer(this.held)
      if (answer === undefined) return
      const bytes = this.held.get(answer)
      metrics.addCount('answers_evicted', {})
      const { heldBytes } = this
      logger.recordWarning('answer evicted', { upstream: answer.upstreamId, bytes, heldBytes, limitBytes })
      this.remove(answer)
      answer.onEvicted()
    }
  }
}
