import type { SoakRecords } from './soakRecords.js'
import type { SoakExecution } from './soakExecution.js'

/** Statuses that guarantee that the request was not executed and never will be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])

/**
 * Checks that each answer comes from an upstream that executed the request, and that no refused request that must not be
 * repeated was executed.
 */
export function checkAnswers ({ requests, executions }: SoakRecords): readonly string[] {
  const executionsById = new Map<string, SoakExecution[]>()
  for (const execution of executions) executionsById.set(execution.requestId, [...executionsById.get(execution.requestId) ?? [], execution])
  return requests.flatMap(({ id, kind, status, signature, answeredId, answer, isComplete }) => {
    if (status === undefined) return []
    if (answeredId !== undefined && answeredId !== id) return [`MIXED: ${id} got the answer of ${answeredId}`]
    const ownExecutions = executionsById.get(id) ?? []
    const mayRepeat = kind === 'safe' || kind === 'stream'
    if (notExecutedStatuses.has(status) && !mayRepeat && ownExecutions.length > 0) {
      return [`REFUSED: ${id} was answered ${status}, but was executed by ${ownExecutions[0]!.upstreamId}`]
    }
    const signed = ownExecutions.find(execution => execution.signature === signature)
    if (signature !== undefined && signed === undefined) {
      return [`MIXED: ${id} has an answer with the signature ${signature}, which belongs to none of its executions`]
    }
    if (signed !== undefined && signed.status !== status) {
      return [`MIXED: ${id} was answered ${status}, the upstream answered ${signed.status}`]
    }
    if (status < 300 && signature === undefined) return [`MIXED: ${id} was answered ${status} without a signature`]
    const isStream = kind === 'stream' || kind === 'brittle' || kind === 'pipe'
    if (isComplete && !isStream && signed !== undefined && signed.answer !== answer) {
      return [`MIXED: the answer body of ${id} differs from the one that the upstream sent`]
    }
    return []
  })
}
