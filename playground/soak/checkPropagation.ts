import { createDisruptionIndex } from './createDisruptionIndex.js'
import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Executions of requests whose client has left that are allowed. */
const maxLateExecutions = 3
const lateExecutionMs = 500

/**
 * Checks, while all hosts are in touch, that the newest configuration, the leaving of an upstream and the leaving of a
 * client take effect in time.
 */
export function checkPropagation ({ requests, executions, disruptions }: SoakRecords): readonly string[] {
  const { configurationMs, drainMs } = soakConstants
  const { isInTouch } = createDisruptionIndex(disruptions)
  const sent = new Map(requests.map(request => [request.id, request]))
  const configurations = disruptions.filter(({ type }) => type === 'configuration')
  const leaving = disruptions.filter(({ type }) => type === 'leaving')
  const late: string[] = []
  const violations = executions.flatMap(({ requestId, upstreamId, service, atMs }) => {
    const request = sent.get(requestId)
    if (request === undefined || !isInTouch(request.sentAtMs, atMs)) return []
    const { sentAtMs, kind, hasLeft, endedAtMs } = request
    if (hasLeft && atMs > endedAtMs + lateExecutionMs) late.push(requestId)
    const found: string[] = []
    // A version may apply until the time in which the next one must be in force.
    const isInForce = configurations.some(({ id }, i) => {
      return id === service && (configurations[i + 1]?.fromMs ?? Infinity) >= sentAtMs - configurationMs
    })
    const isPlain = kind === 'safe' || kind === 'once'
    if (isPlain && !isInForce && configurations.some(({ id }) => id === service)) {
      const sent = `${requestId} was sent at ${Math.round(sentAtMs)} ms`
      found.push(`CONFIG: ${sent} and executed at ${service}, which only an older configuration names`)
    }
    const leavingMs = Math.round(atMs - (leaving.find(({ id }) => id === upstreamId)?.fromMs ?? Infinity))
    if (leavingMs > drainMs) {
      found.push(`DRAIN: ${requestId} reached ${upstreamId} ${leavingMs} ms after it began to leave`)
    }
    return found
  })
  if (late.length <= maxLateExecutions) return violations
  const examples = late.slice(0, 5).join(' ')
  const lateness = `over ${lateExecutionMs} ms after their clients had left`
  return [...violations, `GONE: ${late.length} requests were executed ${lateness}: ${examples}`]
}
