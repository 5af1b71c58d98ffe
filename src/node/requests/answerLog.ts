import type { AnswerEnd } from './answerEnd.js'

/**
 * The part of a request's answer that this host has received so far. Tokens are JSON string literals. A new
 * generation discards the tokens of the previous one; within a generation, tokens are only appended.
 */
export class AnswerLog {
  private readonly listeners = new Set<() => void>()
  private currentGeneration = 0
  private literals: string[] = []
  private byteCount = 0
  private answerEnd: AnswerEnd | undefined

  /** Number of the current generation; 0 before the first one starts. */
  get generation (): number {
    return this.currentGeneration
  }

  get tokens (): readonly string[] {
    return this.literals
  }

  get end (): AnswerEnd | undefined {
    return this.answerEnd
  }

  /** Approximate memory use of the answer in bytes. */
  get bytes (): number {
    return this.byteCount
  }

  startGeneration (generation: number): void {
    if (this.answerEnd !== undefined || generation <= this.currentGeneration) return
    this.currentGeneration = generation
    this.literals = []
    this.byteCount = 0
    this.reportChange()
  }

  /** Appends tokens to the current generation; ignored once the answer has ended. */
  addTokens (literals: readonly string[]): void {
    if (this.answerEnd !== undefined) return
    for (const literal of literals) {
      this.literals.push(literal)
      this.byteCount += literal.length
    }
    this.reportChange()
  }

  /** Ends the answer; further calls are ignored. */
  close (end: AnswerEnd): void {
    if (this.answerEnd !== undefined) return
    this.answerEnd = end
    this.byteCount += JSON.stringify(end).length
    this.reportChange()
    this.listeners.clear()
  }

  /** Calls `listener` after each change until the answer has ended. The returned function removes the listener. */
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

  /** Returns the text of the current generation. */
  buildText (): string {
    return (JSON.parse(`[${this.literals.join(',')}]`) as string[]).join('')
  }

  private reportChange (): void {
    for (const listener of this.listeners) listener()
  }
}
