import type { AdmissionController } from '../../types/admissionController.js'
import type { AdmissionDecision } from '../../types/admissionDecision.js'
import type { AdmissionOptions } from '../../types/admissionOptions.js'
import type { AdmissionRequest } from '../../types/admissionRequest.js'
import { AccountUsage } from './accountUsage.js'
import { computeCriticalPathMs } from './computeCriticalPathMs.js'
import { admissionConstants } from './constants.js'
import { SafetyMargin } from './safetyMargin.js'

/**
 * Creates the admission controller of one host. It performs no I/O; time and observations are passed in.
 *
 * A request is refused if its deadline cannot be met, if the predicted queueing time is too long for its
 * priority and the usage of its account, or if the account's limit is reached. The limit is checked last,
 * so that only an admitted request takes from it. `stages` must be sorted so that each stage comes after
 * the stages it depends on.
 */
export function createAdmissionController (options: AdmissionOptions): AdmissionController {
  const accountUsage = new AccountUsage()
  const margins = new Map<string, SafetyMargin>()

  function getSafetyMargin (request: AdmissionRequest): SafetyMargin {
    const key = `${request.account}/${request.kind}`
    const margin = margins.get(key) ?? new SafetyMargin()
    margins.set(key, margin)
    return margin
  }

  function refuseForLoad (request: AdmissionRequest, nowMs: number): AdmissionDecision | undefined {
    const criticalPath = computeCriticalPathMs(request.stages, request.tokens, options.estimator, nowMs)
    if (criticalPath.serviceMs + criticalPath.waitMs > request.remainingMs) {
      return refuse('deadline_unreachable', criticalPath.serviceMs + criticalPath.waitMs - request.remainingMs)
    }
    const contract = options.contracts.find(request.account)?.contract
    const objectiveMs = contract?.kinds[request.kind]?.objective.latencyMs ?? request.remainingMs
    const spareMs = Math.min(objectiveMs, request.remainingMs) - criticalPath.serviceMs
    const allowedMs = spareMs * computeWaitShare(request.priority) * accountUsage.computeFactor(request.account, nowMs)
    const waitMs = criticalPath.waitMs * getSafetyMargin(request).computeFactor(nowMs)
    // A request that misses its objective even on idle upstreams is still admitted, because it can meet its deadline.
    if (spareMs > 0 && waitMs > allowedMs) return refuse('overloaded', waitMs - allowedMs)
    return undefined
  }

  return {
    admit (request, nowMs) {
      const refusal = refuseForLoad(request, nowMs)
      if (refusal !== undefined) return refusal
      const taken = options.limiter.take(request.account, nowMs)
      if (!taken.granted) return { admitted: false, reason: 'limit_reached', retryAfterMs: taken.retryAfterMs }
      accountUsage.add(request.account, options.contracts.find(request.account)?.contract?.requestsPerSecond ?? 1, nowMs)
      return { admitted: true }
    },
    onFinished (request, _elapsedMs, attained, nowMs) {
      getSafetyMargin(request).observe(attained, nowMs)
    }
  }
}

function computeWaitShare (priority: number): number {
  const { minWaitShare, maxWaitShare } = admissionConstants
  return minWaitShare + (maxWaitShare - minWaitShare) * Math.min(Math.max(priority, 0), 9) / 9
}

function refuse (reason: 'deadline_unreachable' | 'overloaded', excessMs: number): AdmissionDecision {
  const { minRetryAfterMs, maxRetryAfterMs } = admissionConstants
  return { admitted: false, reason, retryAfterMs: Math.min(Math.max(Math.round(excessMs), minRetryAfterMs), maxRetryAfterMs) }
}
