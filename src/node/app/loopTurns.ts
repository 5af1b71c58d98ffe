import { gatewayConstants } from './gatewayConstants.js'

interface LoopTurn {
  readonly atMs: number
  /** Time by which the turn came later than its interval. */
  readonly lagMs: number
}

/**
 * Times at which a timer with the interval `turnIntervalMs` ran. They tell how late the event loop handles events: a
 * process learns of a signal only when its current turn ends, and the time of the signal itself is not handed over.
 */
export class LoopTurns {
  private turns: readonly LoopTurn[]

  constructor (nowMs: number) {
    this.turns = [{ atMs: nowMs, lagMs: 0 }]
  }

  recordTurn (nowMs: number): void {
    const { turnIntervalMs, lagWindowMs } = gatewayConstants
    const lagMs = nowMs - this.turns.at(-1)!.atMs - turnIntervalMs
    const recent = this.turns.filter((turn, index) => index >= this.turns.length - 1 || turn.atMs >= nowMs - lagWindowMs)
    this.turns = [...recent, { atMs: nowMs, lagMs }]
  }

  /**
   * Earliest time at which an event that is handled now can have arrived. The last timer may have run in the same turn,
   * before the event was handled, so the one before it counts. In a punctual event loop, this is now.
   */
  computeArrivalMs (nowMs: number): number {
    const previousMs = (this.turns.at(-2) ?? this.turns.at(-1)!).atMs
    return nowMs - previousMs > gatewayConstants.turnIntervalMs * 2 + gatewayConstants.toleratedLagMs ? previousMs : nowMs
  }

  /**
   * Mean lag of the turns within the last `lagWindowMs`; 0 while it is tolerated. A single long turn counts little: it does
   * not tell that the steps of a stop will be late.
   */
  computeLagMs (nowMs: number): number {
    const { toleratedLagMs, lagWindowMs } = gatewayConstants
    const lags = this.turns.filter(turn => turn.atMs >= nowMs - lagWindowMs).map(turn => turn.lagMs)
    const lagMs = lags.reduce((sum, lag) => sum + lag, 0) / Math.max(lags.length, 1)
    return lagMs > toleratedLagMs ? lagMs : 0
  }
}
