import type { AnswerMemory } from '../gateway/answers/answerMemory.js'
import type { HeldAnswer } from '../gateway/answers/heldAnswer.js'

/** What a call holds of its answer, as a part of the memory for all answers of the process. */
export class HeldBytes implements HeldAnswer {
  private bytes = 0

  constructor (
    private readonly memory: AnswerMemory,
    readonly upstreamId: string,
    readonly onEvicted: () => void
  ) {}

  countBytes (): number {
    return this.bytes
  }

  /** Sets the bytes that are held now. May evict this answer or others. */
  update (bytes: number): void {
    if (bytes === this.bytes) return
    this.bytes = bytes
    this.memory.update(this, bytes)
  }

  release (): void {
    this.bytes = 0
    this.memory.remove(this)
  }
}
