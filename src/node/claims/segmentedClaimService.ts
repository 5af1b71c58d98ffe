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

interface SegmentedClaimServiceOptions {
  readonly hostId: string
  readonly committer: ClaimCommitter
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly createNonce: () => string
}

type ClaimCall = Parameters<ClaimService['claim']>[0]

/**
 * Stores claims in segments in the key-value service. The first stored claim of a call is permanent: other hosts
 * find it and never send the call.
 */
export class SegmentedClaimService implements ClaimService {
  constructor (private readonly options: SegmentedClaimServiceOptions) {}

  async claim (call: ClaimCall): Promise<ClaimDecision> {
    const requestTimeMs = parseRequestIdTime(call.requestId)
    const refusal = this.checkRequestTime(requestTimeMs)
    if (refusal !== undefined) return refusal
    const key = computeSegmentKey(call.account, call.requestId, requestTimeMs as number)
    const decision = await this.writeClaim(call, key)
    this.options.metrics.addCount('claims_total', { result: decision.kind })
    return decision
  }

  private checkRequestTime (requestTimeMs: number | undefined): ClaimDecision | undefined {
    if (requestTimeMs === undefined) {
      return { kind: 'refused', code: 'request_id_invalid', message: 'calls that run at most once need a UUIDv7 request id', ran: 'not_run' }
    }
    const ageMs = this.options.clock.readWallMs() - requestTimeMs
    if (ageMs > claimConstants.RETRY_WINDOW_MS) {
      return { kind: 'refused', code: 'request_id_expired', message: 'the request id is older than the retry window of 10 min', ran: 'unknown' }
    }
    if (ageMs < -claimConstants.MAX_CLOCK_SKEW_MS) {
      return { kind: 'refused', code: 'request_id_in_future', message: 'the request id lies more than 30 s in the future', ran: 'not_run' }
    }
    return undefined
  }

  private async writeClaim (call: ClaimCall, key: string): Promise<ClaimDecision> {
    const claimedAtMs = this.options.clock.readMonotonicMs()
    const record: ClaimRecord = { ...call, hostId: this.options.hostId, nonce: this.options.createNonce() }
    const claimKey = `${call.account}/${call.requestId}`
    try {
      const stored = await this.options.committer.write(key, { type: 'claim', claimKey, record }, claimedAtMs + claimConstants.CLAIM_TIMEOUT_MS)
      return this.buildDecision(stored as ClaimRecord, record, key, claimedAtMs)
    } catch (error) {
      if (!(error instanceof LycheetrackError)) throw error
      this.recordUnconfirmedClaim(key, record)
      this.options.logger.recordWarning('failed to claim a call, refusing it', { requestId: call.requestId, code: error.code, reason: error.message })
      return { kind: 'refused', code: 'claim_unavailable', message: 'the call could not be claimed and was not sent', ran: 'not_run' }
    }
  }

  private buildDecision (stored: ClaimRecord, ownRecord: ClaimRecord, key: string, claimedAtMs: number): ClaimDecision {
    if (stored.bodyHash !== ownRecord.bodyHash) {
      return { kind: 'refused', code: 'request_id_reused', message: 'the request id was used for another request', ran: 'not_run' }
    }
    if (stored.nonce === ownRecord.nonce && stored.outcome === undefined) {
      return new HeldClaim(this.options.clock, claimedAtMs, outcome => this.writeOutcome(key, ownRecord, outcome))
    }
    if (stored.outcome !== undefined) return { kind: 'recorded', outcome: stored.outcome }
    return { kind: 'pending', holderId: stored.hostId }
  }

  private async writeOutcome (key: string, ownRecord: ClaimRecord, outcome: ClaimOutcome): Promise<void> {
    const storedOutcome = outcome.body.length > claimConstants.MAX_OUTCOME_BYTES ? { ...outcome, body: '' } : outcome
    await this.options.committer.write(key, this.buildOutcomeMutation(ownRecord, storedOutcome), this.options.clock.readMonotonicMs() + claimConstants.OUTCOME_RECORD_TIMEOUT_MS)
  }

  /**
   * Records `not_run` for a claim that could not be confirmed, because its write may have taken effect. A caller
   * that retries then gets `not_run` instead of an unknown outcome.
   */
  private recordUnconfirmedClaim (key: string, ownRecord: ClaimRecord): void {
    const outcome: ClaimOutcome = { ran: 'not_run', status: 503, body: '' }
    const deadlineMs = this.options.clock.readMonotonicMs() + claimConstants.OUTCOME_RECORD_TIMEOUT_MS
    this.options.committer.write(key, this.buildOutcomeMutation(ownRecord, outcome), deadlineMs).catch((error: LycheetrackError) => {
      this.options.logger.recordWarning('failed to record an unconfirmed claim as not run', { requestId: ownRecord.requestId, code: error.code })
    })
  }

  private buildOutcomeMutation (ownRecord: ClaimRecord, outcome: ClaimOutcome): SegmentMutation {
    return { type: 'outcome', claimKey: `${ownRecord.account}/${ownRecord.requestId}`, nonce: ownRecord.nonce, outcome }
  }
}
