import { createActor } from 'xstate'
import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { Clock } from '../../types/clock.js'
import { claimMachine } from './claimMachine.js'
import { claimConstants } from './constants.js'

/** A claim that this host holds, which permits it to send the call. */
export class HeldClaim {
  readonly kind = 'held'
  private readonly lifecycle = createActor(claimMachine).start()

  /** `claimedAtMs` is the monotonic time taken before the claim was first written. */
  constructor (
    private readonly clock: Clock,
    private readonly claimedAtMs: number,
    private readonly writeOutcome: (outcome: ClaimOutcome) => Promise<void>
  ) {}

  /**
   * True while the call may be sent. Stays false once the claim has been found too old or an outcome has been
   * recorded.
   */
  isFresh (): boolean {
    const isWithinAgeLimit = this.clock.readMonotonicMs() - this.claimedAtMs < claimConstants.CLAIM_FRESHNESS_MS
    if (!isWithinAgeLimit) this.lifecycle.send({ type: 'expire' })
    return this.lifecycle.getSnapshot().value === 'held'
  }

  async recordOutcome (outcome: ClaimOutcome): Promise<void> {
    this.lifecycle.send({ type: 'store' })
    await this.writeOutcome(outcome)
  }
}
