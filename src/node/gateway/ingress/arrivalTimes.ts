import { ingressConstants } from './constants.js'
import type { Clock } from '../../../types/clock.js'

interface ArrivalOptions {
  readonly clock: Clock
  /** Calls back at the end of the current turn of the event loop, and lets the next one begin without waiting. */
  readonly runAfterTurn: (callback: () => void) => void
}

/**
 * Estimates when connections and input of clients arrived at the kernel, in monotonic milliseconds. A busy event loop
 * reads input one turn late, and Node.js accepts one connection per turn, while the clients' deadlines pass.
 */
export class ArrivalTimes {
  /** Number of the current turn. */
  private turn = 0
  /** Whether the end of the current turn is going to be seen. */
  private isTracking = false
  private wasUsed = false
  private turnStartedAtMs = 0
  private previousTurnStartedAtMs = 0
  /** Last turn that accepted a connection, and the time since which connections may have waited then. */
  private acceptTurn = -Infinity
  private waitingSinceMs = 0

  constructor (private readonly options: ArrivalOptions) {}

  /** The current turn. Input that waited at a connection when it was accepted is read in the turn after. */
  get currentTurn (): number {
    return this.turn
  }

  /** Called for each input that is read; returns the earliest time at which it arrived. */
  observeInput (): number {
    this.startTurn()
    return this.previousTurnStartedAtMs
  }

  /** Called for each connection that is accepted; returns the earliest time at which the client opened it. */
  observeConnection (): number {
    const arrivedAtMs = this.observeInput()
    // Connections are accepted in their order: the queue was empty when a turn last accepted none.
    if (this.turn - this.acceptTurn > 1) this.waitingSinceMs = arrivedAtMs
    this.acceptTurn = this.turn
    return Math.max(this.waitingSinceMs, this.options.clock.readMonotonicMs() - ingressConstants.maxQueuedMs)
  }

  private startTurn (): void {
    this.wasUsed = true
    if (this.isTracking) return
    this.isTracking = true
    // The event loop was waiting, so what it reads now has just arrived.
    this.turn += 2
    this.turnStartedAtMs = this.options.clock.readMonotonicMs()
    this.previousTurnStartedAtMs = this.turnStartedAtMs
    this.options.runAfterTurn(this.onTurnEnd)
  }

  private readonly onTurnEnd = (): void => {
    this.isTracking = this.wasUsed
    if (!this.wasUsed) return
    this.wasUsed = false
    this.turn++
    this.previousTurnStartedAtMs = this.turnStartedAtMs
    this.turnStartedAtMs = this.options.clock.readMonotonicMs()
    this.options.runAfterTurn(this.onTurnEnd)
  }
}
