import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakExecution } from './soakExecution.js'

/** Upstreams run only what clients sent, unchanged, where a configuration allows it, and once where that is all that is allowed. */
export function checkExecutions ({ requests, executions, allowedServices }: SoakRecords): readonly string[] {
  const sent = new Map(requests.map(request => [request.id, request]))
  const counts = new Map<string, number>()
  const violations: string[] = []
  for (const execution of executions) {
    const request = sent.get(execution.requestId)
    if (request === undefined) {
      violations.push(`UNASKED: ${execution.upstreamId} ran ${execution.requestId}, which no client sent`)
      continue
    }
    violations.push(...checkExecution(execution, request, allowedServices))
    const count = (counts.get(execution.requestId) ?? 0) + 1
    counts.set(execution.requestId, count)
    const mayRepeat = request.kind === 'safe' || request.kind === 'stream'
    if (count === 2 && !mayRepeat) violations.push(`TWICE: ${request.id} (${request.kind}) ran more than once`)
  }
  return violations
}

function checkExecution (execution: SoakExecution, request: SoakRequest, allowedServices: SoakRecords['allowedServices']): readonly string[] {
  const violations: string[] = []
  const isUnchanged = execution.method === request.method && execution.path === request.path && execution.body === request.body
  if (!isUnchanged) violations.push(`UNASKED: ${request.id} was changed on its way`)
  if (execution.hasKey) violations.push(`UNASKED: the key of ${request.id} was passed on`)
  if (execution.account !== 'account-1') violations.push(`UNASKED: ${request.id} ran for the account ${execution.account}`)
  // A time left that is missing or no number breaks the rule as well.
  if (!(execution.timeLeftMs <= request.timeoutMs + soakConstants.timeLeftSlackMs)) {
    violations.push(`BUDGET: ${request.id} was passed on with ${execution.timeLeftMs} ms of ${request.timeoutMs}`)
  }
  const prefix = `/${request.path.split('/')[1]}/`
  if (allowedServices.get(prefix)?.has(execution.service) !== true) {
    violations.push(`ROUTE: ${request.id} ran at ${execution.service}, which no configuration allows for ${prefix}`)
  }
  return violations
}
