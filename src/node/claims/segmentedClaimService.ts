import { LycheetrackError } from '../../shared/lycheetrackError.js'
import type { ClaimDecision } from '../../types/claimDecision.js'
import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { ClaimService } from '../../types/claimService.js'
import type { Clock } from '../../types/clock.js'
import type { Logger } from '../../types/logger.js'
import type { Metrics } from '../../types/metrics.js'
import type { ClaimCommitter } from './claimCommitter.js'
import type { ClaimRecord } from './claimRecord.js'
import { computeSegmentKey } from './computeSegmentKey.js'
import { claimConstants } from './constants.js'
import { HeldClaim } from './heldClaim.js'
import { parseRequestIdTime } from './parseRequestIdTime.js'
import type { SegmentMutation } from './segmentMutation.js'

interface SegmentedClaimServiceParts {
  readonly hostId: string
  readonly committer: ClaimCommitter
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly createNonce: () => string
}

type Call = Parameters<ClaimService['claim']>[0]

/**
 * Claims kept in segments of the key-value service. The claim that is stored first holds for good: other hosts
 * find it and never send the call.
 */
export class SegmentedClaimService implements ClaimService {
  constructor (private readonly parts: SegmentedClaimServiceParts) {}

  async claim (call: Call): Promise<ClaimDecision> {
    const requestTimeMs = parseRequestIdTime(call.requestId)
    const refusal = this.refuse(requestTimeMs)
    if (refusal !== undefined) return refusal
    const key = computeSegmentKey(call.account, call.requestId, requestTimeMs as number)
    const decision = await this.writeClaim(call, key)
    this.parts.metrics.addCount('claims_total', { result: decision.kind })
    return decision
  }

  private refuse (requestTimeMs: number | undefined): ClaimDecision | undefined {
    if (requestTimeMs === undefined) {
      return { kind: 'refused', code: 'request_id_invalid', message: 'calls that run at most once need a UUIDv7 request id', ran: 'not_run' }
    }
    const ageMs = this.parts.clock.readWallMs() - requestTimeMs
    if (ageMs > claimConstants.RETRY_WINDOW_MS) {
      return { kind: 'refused', code: 'request_id_expired', message: 'the request id is older than the retry window of 10 min', ran: 'unknown' }
    }
    if (ageMs < -claimConstants.MAX_CLOCK_SKEW_MS) {
      return { kind: 'refused', code: 'request_id_in_future', message: 'the request id lies more than 30 s in the future', ran: 'not_run' }
    }
    return undefined
  }

  private async writeClaim (call: Call, key: string): Promise<ClaimDecision> {
    const claimedAtMs = this.parts.clock.readMonotonicMs()
    const record: ClaimRecord = { ...call, hostId: this.parts.hostId, nonce: this.parts.createNonce() }
    const claimKey = `${call.account}/${call.requestId}`
    try {
      const stored = await this.parts.committer.write(key, { type: 'claim', claimKey, record }, claimedAtMs + claimConstants.CLAIM_TIMEOUT_MS)
      return this.createDecision(stored as ClaimRecord, record, key, claimedAtMs)
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.settleAbandonedClaim(key, record)
      this.parts.logger.recordWarning('call not claimed', { requestId: call.requestId, code: error.code, reason: error.message })
      return { kind: 'refused', code: 'claim_unavailable', message: 'the call could not be claimed and was not sent', ran: 'not_run' }
    }
  }

  private createDecision (stored: ClaimRecord, own: ClaimRecord, key: string, claimedAtMs: number): ClaimDecision {
    if (stored.bodyHash !== own.bodyHash) {
      return { kind: 'refused', code: 'request_id_reused', message: 'the request id was used for another request', ran: 'not_run' }
    }
    if (stored.nonce === own.nonce && stored.outcome === undefined) {
      return new HeldClaim(this.parts.clock, claimedAtMs, outcome => this.writeOutcome(key, own, outcome))
    }
    if (stored.outcome !== undefined) return { kind: 'recorded', outcome: stored.outcome }
    return { kind: 'pending', holderId: stored.hostId }
  }

  private async writeOutcome (key: string, own: ClaimRecord, outcome: ClaimOutcome): Promise<void> {
    const kept = outcome.body.length > claimConstants.MAX_OUTCOME_BYTES ? { ...outcome, body: '' } : outcome
    await this.parts.committer.write(key, this.createOutcomeMutation(own, kept), this.parts.clock.readMonotonicMs() + claimConstants.OUTCOME_RECORD_TIMEOUT_MS)
  }

  /**
   * Marks a claim that could not be confirmed as not run, in case its write took effect, so that a caller
   * who retries is told `not_run` instead of an unknown outcome.
   */
  private settleAbandonedClaim (key: string, own: ClaimRecord): void {
    const outcome: ClaimOutcome = { ran: 'not_run', status: 503, body: '' }
    const deadlineMs = this.parts.clock.readMonotonicMs() + claimConstants.OUTCOME_RECORD_TIMEOUT_MS
    this.parts.committer.write(key, this.createOutcomeMutation(own, outcome), deadlineMs).catch((error: LycheetrackError) => {
      this.parts.logger.recordWarning('an unconfirmed claim could not be marked as not run', { requestId: own.requestId, code: error.code })
    })
  }

  private createOutcomeMutation (own: ClaimRecord, outcome: ClaimOutcome): SegmentMutation {
    return { type: 'outcome', claimKey: `${own.account}/${own.requestId}`, nonce: own.nonce, outcome }
  }
}
