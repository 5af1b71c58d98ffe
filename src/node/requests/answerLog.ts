import type { AnswerEnd } from './answerEnd.js'

/**
 * The answer of one request as far as it is known on this host. Tokens are JSON string literals. A new
 * generation discards the tokens before it; within a generation the log only grows.
 */
export class AnswerLog {
  private readonly listeners = new Set<() => void>()
  private currentGeneration = 0
  private literals: string[] = []
  private size = 0
  private answerEnd: AnswerEnd | undefined

  /** 0 before the first generation has started. */
  get generation (): number {
    return this.currentGeneration
  }

  get tokens (): readonly string[] {
    return this.literals
  }

  get end (): AnswerEnd | undefined {
    return this.answerEnd
  }

  /** Approximate memory of the answer in bytes. */
  get bytes (): number {
    return this.size
  }

  startGeneration (generation: number): void {
    if (this.answerEnd !== undefined || generation <= this.currentGeneration) return
    this.currentGeneration = generation
    this.literals = []
    this.size = 0
    this.reportChange()
  }

  /** Adds tokens to the current generation; ignored once the answer has ended. */
  addTokens (literals: readonly string[]): void {
    if (this.answerEnd !== undefined) return
    for (const literal of literals) {
      this.literals.push(literal)
      this.size += literal.length
    }
    this.reportChange()
  }

  /** Ends the answer; only the first end counts. */
  close (end: AnswerEnd): void {
    if (this.answerEnd !== undefined) return
    this.answerEnd = end
    this.size += JSON.stringify(end).length
    this.reportChange()
    this.listeners.clear()
  }

  /** Calls `listener` after each change until the answer has ended; the returned function removes it. */
  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Resolves when the answer has ended. */
  async waitForEnd (): Promise<AnswerEnd> {
    if (this.answerEnd !== undefined) return this.answerEnd
    return await new Promise(resolve => {
      const remove = this.onChange(() => {
        if (this.answerEnd === undefined) return
        remove()
        resolve(this.answerEnd)
      })
    })
  }

  /** The text of the current generation. */
  buildText (): string {
    return (JSON.parse(`[${this.literals.join(',')}]`) as string[]).join('')
  }

  private reportChange (): void {
    for (const listener of this.listeners) listener()
  }
}
