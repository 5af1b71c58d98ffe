import { createActor } from 'xstate'
import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { Clock } from '../../types/clock.js'
import { claimMachine } from './claimMachine.js'
import { claimConstants } from './constants.js'

/** A claim held by this host. */
export class HeldClaim {
  readonly kind = 'held'
  private readonly life = createActor(claimMachine).start()

  /** `claimedAtMs` is the monotonic time before the first write of the claim. */
  constructor (
    private readonly clock: Clock,
    private readonly claimedAtMs: number,
    private readonly writeOutcome: (outcome: ClaimOutcome) => Promise<void>
  ) {}

  /** True for a claim young enough to be acted on; false for good once it was found too old. */
  isFresh (): boolean {
    const isYoung = this.clock.readMonotonicMs() - this.claimedAtMs < claimConstants.CLAIM_FRESHNESS_MS
    if (!isYoung) this.life.send({ type: 'expire' })
    return this.life.getSnapshot().value === 'held'
  }

  async recordOutcome (outcome: ClaimOutcome): Promise<void> {
    this.life.send({ type: 'store' })
    await this.writeOutcome(outcome)
  }
}
