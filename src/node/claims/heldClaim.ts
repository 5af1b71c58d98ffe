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

  /** True once, for a claim young enough to be acted on. */
  isFresh (): boolean {
    const state = this.life.getSnapshot().value
    if (state !== 'held') return false
    const isYoung = this.clock.readMonotonicMs() - this.claimedAtMs < claimConstants.FRESH_MS
    this.life.send({ type: isYoung ? 'send' : 'expire' })
    return isYoung
  }

  async recordOutcome (outcome: ClaimOutcome): Promise<void> {
    await this.writeOutcome(outcome)
    this.life.send({ type: 'store' })
  }
}
