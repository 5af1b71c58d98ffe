/** Bounds the bytes of all answers that are being collected from one service. */
export class AnswerAllowance {
  private heldBytes = 0

  constructor (private readonly limitBytes: number) {}

  /** Returns whether there is room for further bytes, and takes it. */
  admit (bytes: number): boolean {
    if (this.heldBytes + bytes > this.limitBytes) return false
    this.heldBytes += bytes
    return true
  }

  release (bytes: number): void {
    this.heldBytes -= bytes
  }
}
