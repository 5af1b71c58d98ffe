import type { ExecutionHistory } from './executionHistory.js'
import type { History } from './history.js'
import type { Invariant } from './invariant.js'
import type { RequestHistory } from './requestHistory.js'
import type { Violation } from './violation.js'

/** Checks each request against what the upstreams executed. */
export function checkRequests (history: History): readonly Violation[] {
  const executions = new Map<string, ExecutionHistory[]>()
  for (const execution of history.executions) {
    const key = `${execution.account}/${execution.requestId}`
    executions.set(key, [...executions.get(key) ?? [], execution])
  }
  // Submissions that may have been executed, by id.
  const possibleRuns = new Map<string, number>()
  for (const request of history.requests.filter(request => request.outcome !== 'refused' || request.ran !== 'not_run')) {
    const key = `${request.account}/${request.requestId}`
    possibleRuns.set(key, (possibleRuns.get(key) ?? 0) + 1)
  }
  return history.requests.flatMap(request => {
    const ran = executions.get(`${request.account}/${request.requestId}`) ?? []
    const ranEarlier = (request.earlierRequestIds ?? []).flatMap(id => executions.get(`${request.account}/${id}`) ?? [])
    return [...checkAnswer(request, ran), ...checkRefusal(request, ran, possibleRuns.has(`${request.account}/${request.requestId}`)), ...checkSingleRun(request, [...ranEarlier, ...ran])]
  })
}

function checkAnswer (request: RequestHistory, ran: readonly ExecutionHistory[]): readonly Violation[] {
  if (request.contentFault !== undefined) return [createViolation('whole_own_answer', request, ran, request.contentFault)]
  if (request.outcome === 'lost') return [createViolation('no_answer_lost', request, ran, 'the caller got neither an answer nor a typed error')]
  if (request.outcome === 'answered' && ran.length === 0) return [createViolation('whole_own_answer', request, ran, 'answered, but no upstream executed it')]
  return []
}

/**
 * A caller that submits one id to several hosts at once may have one submission refused before another one is executed.
 * The refusal is correct when nothing had been executed at some moment between its submission and its answer.
 */
function checkRefusal (request: RequestHistory, ran: readonly ExecutionHistory[], hasOther: boolean): readonly Violation[] {
  if (request.outcome !== 'refused' || request.ran !== 'not_run') return []
  const contradicting = hasOther ? ran.filter(execution => execution.startMs <= request.startMs) : ran
  if (contradicting.length === 0) return []
  return [createViolation('not_run_is_true', request, contradicting, `refused as not_run, but executed ${contradicting.length} times`)]
}

function checkSingleRun (request: RequestHistory, ran: readonly ExecutionHistory[]): readonly Violation[] {
  if (!request.atMostOnce || ran.length <= 1) return []
  return [createViolation('at_most_once', request, ran, `executed ${ran.length} times`)]
}

function createViolation (invariant: Invariant, request: RequestHistory, ran: readonly ExecutionHistory[], detail: string): Violation {
  const own = { atMs: request.endMs, line: `caller ${request.kind}: ${request.outcome} ${request.ran ?? ''} ${request.code ?? ''}`.trim() }
  const runs = ran.map(execution => ({ atMs: execution.startMs, line: `${execution.upstreamId} started ${execution.stage}` }))
  const trace = [...runs, own].sort((a, b) => a.atMs - b.atMs).map(({ atMs, line }) => `+${Math.round(atMs - request.startMs)} ms ${line}`)
  return { invariant, subject: `${request.account}/${request.requestId}`, detail, trace }
}
