import type { AdmissionController } from '../../types/admissionController.js'
import type { AdmissionDecision } from '../../types/admissionDecision.js'
import type { AdmissionOptions } from '../../types/admissionOptions.js'
import type { AdmissionRequest } from '../../types/admissionRequest.js'
import { AccountUsage } from './accountUsage.js'
import { computeCriticalPathMs } from './computeCriticalPathMs.js'
import { admissionConstants } from './constants.js'
import { SafetyMargin } from './safetyMargin.js'

/**
 * Creates the admission controller of one host. Pure: time and observations are arguments. A request
 * is refused when its deadline cannot be met, when queues leave too little time for its priority and
 * its account's use of its contract, and last when the account's limit is reached; only an admitted
 * request takes from the limit. `stages` must be listed in an order in which each comes after those
 * it needs.
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
    const path = computeCriticalPathMs(request.stages, request.tokens, options.estimator, nowMs)
    if (path.serviceMs + path.waitMs > request.remainingMs) {
      return refuse('deadline_unreachable', path.serviceMs + path.waitMs - request.remainingMs)
    }
    const contract = options.contracts.find(request.account)?.contract
    const objectiveMs = contract?.kinds[request.kind]?.objective.latencyMs ?? request.remainingMs
    const spareMs = Math.min(objectiveMs, request.remainingMs) - path.serviceMs
    const allowedMs = spareMs * computeWaitShare(request.priority) * accountUsage.computeFactor(request.account, nowMs)
    const waitMs = path.waitMs * getSafetyMargin(request).computeFactor(nowMs)
    // Work that cannot meet its objective even on idle upstreams is still worth its deadline.
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
  const { minWaitShare: waitShareLowest, maxWaitShare: waitShareHighest } = admissionConstants
  return waitShareLowest + (waitShareHighest - waitShareLowest) * Math.min(Math.max(priority, 0), 9) / 9
}

function refuse (reason: 'deadline_unreachable' | 'overloaded', excessMs: number): AdmissionDecision {
  const { minRetryAfterMs: leastRetryAfterMs, maxRetryAfterMs: largestRetryAfterMs } = admissionConstants
  return { admitted: false, reason, retryAfterMs: Math.min(Math.max(Math.round(excessMs), leastRetryAfterMs), largestRetryAfterMs) }
}
