import { createDisruptionIndex } from './createDisruptionIndex.js'
import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'

/** Requests of sound services that may stay without an answer, as on kept connections. */
const maxUnanswered = 3
const stageServices: readonly string[] = ['first', 'second']

/**
 * Checks that requests of sound services are answered by hosts in touch while the upstreams of another service pour, and
 * for a while after.
 */
export function checkPouring (records: SoakRecords): readonly string[] {
  const { requests, disruptions } = records
  const { isInTouch, hasDisruption } = createDisruptionIndex(disruptions)
  const unanswered = requests.filter(request => {
    const { host, sentAtMs, endedAtMs } = request
    const sinceMs = sentAtMs - soakConstants.stableWindowMs
    return isUnanswered(request) && isInTouch(sentAtMs, endedAtMs, host) &&
      hasDisruption(['pouring'], sinceMs, endedAtMs) && !hasFaultyUpstream(records, request, sinceMs) &&
      !isHeldUp(records, request)
  })
  if (unanswered.length <= maxUnanswered) return []
  return unanswered.map(({ id, host, sentAtMs }) => {
    return `LOST: ${host} did not answer ${id}, sent at ${Math.round(sentAtMs)} ms to a sound service beside one that pours`
  })
}

/** Whether the client waited for its whole time in vain. */
function isUnanswered ({ form, isAllowed, status, hasLeft, sentAtMs, endedAtMs, timeoutMs }: SoakRequest): boolean {
  return form === 'single' && isAllowed && status === undefined && hasLeft && endedAtMs - sentAtMs >= timeoutMs
}

function hasFaultyUpstream ({ disruptions, services, allowedServices }: SoakRecords, request: SoakRequest, sinceMs: number): boolean {
  const needed = new Set([...allowedServices.get(`/${request.kind}/`) ?? [], ...request.kind === 'pipe' ? stageServices : []])
  return disruptions.some(({ type, id, fromMs, toMs }) => {
    const isFault = type === 'upstream' || type === 'leaving'
    return isFault && needed.has(services.get(id) ?? '') && fromMs <= request.endedAtMs && toMs >= sinceMs
  })
}

/** Whether the soak's own process, which is the upstream too, stood still for a part of the request. */
function isHeldUp ({ heldUp }: SoakRecords, { sentAtMs, endedAtMs }: SoakRequest): boolean {
  const heldUpMs = heldUp.reduce((sum, { fromMs, toMs }) => {
    return sum + Math.max(0, Math.min(toMs, endedAtMs) - Math.max(fromMs, sentAtMs))
  }, 0)
  return heldUpMs > soakConstants.slowedWaitMs
}
