import { admitByEngines } from '../capacity/admitByEngines.js'
import { computeRequestPriority } from './computeRequestPriority.js'
import { countLeastTokens } from '../capacity/countLeastTokens.js'
import { createServiceLoad } from '../capacity/createServiceLoad.js'
import { isLaterTry } from './isLaterTry.js'
import type { AdmissionDemand } from '../capacity/admissionDemand.js'
import type { EngineCapacities } from '../capacity/engineCapacities.js'
import type { EngineRefusal } from './engineRefusal.js'
import type { EngineRequest } from './engineRequest.js'

/**
 * Finds out whether the engines of a service can take a request for a stream: by its deadline, then by its share while
 * they are the bottleneck. Undefined when they can. With `isRecorded`, the request counts as one that has come.
 */
export function findEngineRefusal (
  engineRequest: EngineRequest,
  capacities: EngineCapacities,
  nowMs: number,
  isRecorded: boolean
): EngineRefusal | undefined {
  const { service, engines, request, timeLeftMs } = engineRequest
  const capacity = capacities.getService(service)
  const shares = capacities.getShares(service)
  const prompt = { tokens: request.promptTokens, parts: request.promptParts }
  const inTime = admitByEngines({ engines, capacity, prompt, timeLeftMs, nowMs })
  if (!inTime.isAdmitted) {
    const { beginInMs, retryAfterMs } = inTime
    return {
      cause: 'deadline',
      reason: 'no engine can begin before the deadline',
      retryAfterMs,
      logMessage: 'engines too late',
      metric: 'engine_refusals',
      labels: { service },
      figures: { beginInMs: Math.round(beginInMs), timeLeftMs: Math.round(timeLeftMs) }
    }
  }
  const demand = buildDemand(engineRequest)
  const load = createServiceLoad(capacity, nowMs)
  const admission = isRecorded
    ? shares.admitRequest(demand, load, nowMs)
    : shares.explainRequest(demand, load, nowMs)
  if (admission.isAdmitted) return undefined
  return {
    cause: 'share',
    reason: 'engines are busy, and the share of this priority and account is used up',
    retryAfterMs: admission.retryAfterMs,
    logMessage: 'engines busy',
    metric: 'engine_share_refusals',
    labels: { service, priority: String(demand.priority) },
    figures: {
      priority: demand.priority,
      share: Math.round(admission.share * 1000) / 1000,
      engineWaitMs: Math.round(admission.engineWaitMs)
    }
  }
}

function buildDemand ({ route, account, request, timeLeftMs, findDigest }: EngineRequest): AdmissionDemand {
  return {
    requestId: request.id,
    priority: computeRequestPriority(route, account),
    account: account?.name ?? '',
    tokens: countLeastTokens({ tokens: request.promptTokens, parts: request.promptParts }),
    timeLeftMs,
    isReturning: request.resumedId !== undefined || isLaterTry(route, request),
    findDigest
  }
}
