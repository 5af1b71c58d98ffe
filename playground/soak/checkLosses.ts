import { createDisruptionIndex } from './createDisruptionIndex.js'
import { soakConstants } from './constants.js'
import type { SoakDisruption } from './soakDisruption.js'
import type { SoakExecution } from './soakExecution.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'

interface Loss {
  readonly request: SoakRequest
  readonly executions: readonly SoakExecution[]
}

/** Number of requests of kept connections that may be lost at hosts in touch. */
const maxKeptLosses = 3
/** A host that loses requests beside configurations over this many times as often as otherwise loses them by these. */
const minConfigurationRatio = 3
/** Requests that have used this share of their time are not counted beside configurations. */
const maxConfigurationTimeShare = 0.7
const { stableWindowMs, gracePeriodMs, configurationMs, lossSlackMs } = soakConstants

/**
 * Checks that hosts do not close connections on requests that have no complete answer: from kept connections at hosts
 * in touch, and around planned work (SIGTERM, SIGHUP, configurations) without unplanned disruption.
 */
export function checkLosses (records: SoakRecords): readonly string[] {
  const losses = records.requests.filter(isCut).map(request => ({
    request,
    executions: records.executions.filter(execution => execution.requestId === request.id)
  }))
  const planned = findPlannedLosses(records, losses)
  const kept = findKeptLosses(records, losses).filter(loss => !planned.includes(loss))
  return [
    ...planned.map(loss => describeLoss(loss, 'around planned work')),
    ...kept.length > maxKeptLosses
      ? kept.map(loss => describeLoss(loss, 'on a kept connection of a host in touch'))
      : []
  ]
}

/** Whether the host ended the connection of a request that was sent whole before its answer was complete. */
function isCut ({ isAllowed, isComplete, hasLeft, writtenAtMs, sentAtMs, endedAtMs, timeoutMs }: SoakRequest): boolean {
  return isAllowed && !isComplete && !hasLeft && writtenAtMs !== undefined && endedAtMs - sentAtMs < timeoutMs
}

function findKeptLosses ({ disruptions }: SoakRecords, losses: readonly Loss[]): readonly Loss[] {
  const { isInTouch, hasDisruption } = createDisruptionIndex(disruptions)
  return losses.filter(({ request, executions }) => {
    const { host, isKept, status, sentAtMs, endedAtMs } = request
    const upstreamId = executions.at(-1)?.upstreamId
    if (upstreamId === undefined || status !== undefined || !isKept) return false
    const isSound = !hasDisruption(['upstream', 'leaving'], sentAtMs - stableWindowMs, endedAtMs, upstreamId)
    return isSound && isInTouch(sentAtMs, endedAtMs, host)
  })
}

function findPlannedLosses (records: SoakRecords, losses: readonly Loss[]): readonly Loss[] {
  const counted = losses.filter(loss => {
    const { request: { form, writtenAtMs, endedAtMs }, executions } = loss
    // A client that does not read sees the end of its connection late.
    const seenAfterMs = endedAtMs - writtenAtMs! - countHeldUpMs(records, writtenAtMs!, endedAtMs)
    const isSeenLate = form === 'slow-reader' || seenAfterMs <= lossSlackMs
    const wasRead = executions.length > 0 || !isSeenLate
    return wasRead && !hasUnplannedDisruption(records, loss)
  })
  const firstMs = Math.min(...records.requests.map(request => request.sentAtMs))
  const windows = records.disruptions.filter(({ type }) => type === 'configuration').map(({ fromMs, toMs }) => ({
    fromMs: Math.max(fromMs, firstMs),
    toMs: Math.min(toMs + configurationMs + 1000, records.endedAtMs)
  }))
  const isBesideConfiguration = ({ request: { sentAtMs, endedAtMs } }: Loss): boolean => {
    return windows.some(({ fromMs, toMs }) => sentAtMs <= toMs && endedAtMs >= fromMs)
  }
  const beside = counted.filter(isBesideConfiguration)
  const windowMs = countCoveredMs(windows)
  const otherMs = records.endedAtMs - firstMs - windowMs
  return counted.filter(loss => {
    if (isBesideSignal(records, loss)) return true
    const { host, sentAtMs, endedAtMs, timeoutMs } = loss.request
    if (!beside.includes(loss) || endedAtMs - sentAtMs >= timeoutMs * maxConfigurationTimeShare) return false
    const besideCount = beside.filter(other => other.request.host === host).length
    const otherCount = counted.filter(other => other.request.host === host).length - besideCount
    return besideCount * otherMs > minConfigurationRatio * otherCount * windowMs
  })
}

function hasUnplannedDisruption ({ disruptions }: SoakRecords, { request, executions }: Loss): boolean {
  const { hasDisruption } = createDisruptionIndex(disruptions)
  const { host, kind, status, sentAtMs, endedAtMs } = request
  const hasAny = (types: ReadonlyArray<SoakDisruption['type']>, id?: string): boolean => {
    return hasDisruption(types, sentAtMs - stableWindowMs, endedAtMs, id)
  }
  if (hasAny(['host'], host)) return true
  // A process without processor time may not have read the request.
  if (executions.length === 0 && hasAny(['slow'], host)) return true
  if (kind !== 'safe' && kind !== 'once' && hasAny(['store'])) return true
  if (executions.some(({ upstreamId }) => hasAny(['upstream'], upstreamId))) return true
  // An answer that has begun may pass through other hosts and depends on all stages.
  return (status !== undefined || kind === 'pipe') && hasAny(['host', 'upstream'])
}

function isBesideSignal ({ disruptions }: SoakRecords, { request, executions }: Loss): boolean {
  const { host, sentAtMs, endedAtMs } = request
  return disruptions.some(({ type, id, fromMs }) => {
    if (id !== host || endedAtMs < fromMs) return false
    if (type === 'reload') return sentAtMs >= fromMs && sentAtMs <= fromMs + configurationMs
    if (type !== 'stop' || sentAtMs > fromMs + gracePeriodMs + 1000) return false
    const lastSixthMs = fromMs + gracePeriodMs * 5 / 6
    const wasAtWork = executions.some(execution => (execution.endedAtMs ?? Infinity) > lastSixthMs)
    return !(endedAtMs >= lastSixthMs && wasAtWork && sentAtMs <= fromMs + 3000)
  })
}

/** Time within `fromMs` to `toMs` in which the soak's own process could not see the end of a connection. */
function countHeldUpMs ({ heldUp }: SoakRecords, fromMs: number, toMs: number): number {
  return countCoveredMs(heldUp.map(time => ({ fromMs: Math.max(time.fromMs, fromMs), toMs: Math.min(time.toMs, toMs) })))
}

/** Time that is covered by windows that are sorted by their start. */
function countCoveredMs (windows: ReadonlyArray<{ readonly fromMs: number, readonly toMs: number }>): number {
  let coveredMs = 0
  let untilMs = -Infinity
  for (const { fromMs, toMs } of windows) {
    coveredMs += Math.max(0, toMs - Math.max(fromMs, untilMs))
    untilMs = Math.max(untilMs, toMs)
  }
  return coveredMs
}

function describeLoss ({ request, executions }: Loss, place: string): string {
  const { id, kind, form, host, status, sentAtMs, endedAtMs, isKept, wasReset } = request
  const answer = status === undefined ? 'without an answer' : `within an answer of status ${status}`
  const upstreams = executions.map(execution => execution.upstreamId).join(', ')
  const connection = `${isKept ? 'kept ' : ''}connection of ${id} (${kind}, ${form})`
  const time = `${Math.round(endedAtMs - sentAtMs)} ms after it was sent at ${Math.round(sentAtMs)} ms`
  const outcome = upstreams === '' ? 'not executed' : `executed by ${upstreams}`
  return `LOST: ${place}, ${host} ${wasReset ? 'reset' : 'closed'} the ${connection} ${answer}, ${time}; ${outcome}`
}
