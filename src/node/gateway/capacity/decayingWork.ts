/** Sum of recent amounts, of which each counts half after every half-life. */
export class DecayingWork {
  private amount = 0
  private updatedAtMs = 0

  constructor (private readonly halfLifeMs: number) {}

  /** Amount of the last seconds. */
  computeAmount (nowMs: number): number {
    return this.amount * 0.5 ** (Math.max(nowMs - this.updatedAtMs, 0) / this.halfLifeMs)
  }

  addAmount (amount: number, nowMs: number): void {
    this.amount = this.computeAmount(nowMs) + amount
    this.updatedAtMs = nowMs
  }
}
