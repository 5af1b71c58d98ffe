const longestHoldMs = 250

/** Swaps the order of answers: an answer is held until a later one was sent, at most 250 ms. */
export class ResponseReorderer {
  private release: (() => void) | undefined

  async waitTurn (): Promise<void> {
    if (this.release) {
      // The later answer goes out in this turn of the event loop, the held one in the next.
      setImmediate(this.release)
      this.release = undefined
      return
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => { this.release = undefined; resolve() }, longestHoldMs)
      this.release = () => { clearTimeout(timer); resolve() }
    })
  }
}
