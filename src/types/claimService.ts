import type { ClaimDecision } from './claimDecision.js'

/** Reserves the single execution of calls that are not idempotent. */
export interface ClaimService {
  claim (call: { readonly account: string, readonly requestId: string, readonly bodyHash: string }): Promise<ClaimDecision>
}
