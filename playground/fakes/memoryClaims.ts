import type { ClaimDecision } from '../../src/types/claimDecision.js'
import type { ClaimOutcome } from '../../src/types/claimOutcome.js'
import type { ClaimService } from '../../src/types/claimService.js'

/** In-memory claims for tests, shared by the hosts of one test. */
export class MemoryClaims {
  readonly outcomes = new Map<string, ClaimOutcome>()
  readonly holders = new Map<string, string>()
  /** Result of `isFresh` of all held claims. */
  isFresh = true
  /** While true, claims are refused as when the key-value service is unavailable. */
  isUnavailable = false

  createService (hostId: string): ClaimService {
    return { claim: async call => this.claim(hostId, `${call.account}/${call.requestId}`) }
  }

  private claim (hostId: string, key: string): ClaimDecision {
    if (this.isUnavailable) return { kind: 'refused', code: 'key_value_unavailable', message: 'down', ran: 'not_run' }
    const outcome = this.outcomes.get(key)
    if (outcome !== undefined) return { kind: 'recorded', outcome }
    const holderId = this.holders.get(key)
    if (holderId !== undefined) return { kind: 'pending', holderId }
    this.holders.set(key, hostId)
    return { kind: 'held', isFresh: () => this.isFresh, recordOutcome: async recorded => { this.outcomes.set(key, recorded) } }
  }
}
