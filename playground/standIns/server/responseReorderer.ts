const maxHoldMs = 250

/** Reorders responses in pairs: holds a response until the next one has been sent, for at most 250 ms. */
export class ResponseReorderer {
  private releaseHeld: (() => void) | undefined

  async waitTurn (): Promise<void> {
    if (this.releaseHeld) {
      // The later response is sent in this turn of the event loop, the held one in the next.
      setImmediate(this.releaseHeld)
      this.releaseHeld = undefined
      return
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => { this.releaseHeld = undefined; resolve() }, maxHoldMs)
      this.releaseHeld = () => { clearTimeout(timer); resolve() }
    })
  }
}
