import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakExecution } from './soakExecution.js'

/** Account of the API key that all clients use. */
const expectedAccount = 'account-1'

/**
 * Checks that upstreams execute only requests that clients sent, unchanged and at a service that some configuration
 * allows, and that requests that must not be repeated are executed at most once.
 */
export function checkExecutions ({ requests, executions, allowedServices }: SoakRecords): readonly string[] {
  const sent = new Map(requests.map(request => [request.id, request]))
  const counts = new Map<string, number>()
  const violations: string[] = []
  for (const execution of executions) {
    const request = sent.get(execution.requestId)
    if (request === undefined) {
      violations.push(`UNASKED: ${execution.upstreamId} executed ${execution.requestId}, which no client sent`)
      continue
    }
    violations.push(...checkExecution(execution, request, allowedServices))
    const count = (counts.get(execution.requestId) ?? 0) + 1
    counts.set(execution.requestId, count)
    const mayRepeat = request.kind === 'safe' || request.kind === 'stream'
    if (count === 2 && !mayRepeat) violations.push(`TWICE: ${request.id} (${request.kind}) was executed more than once`)
  }
  return violations
}

function checkExecution (execution: SoakExecution, request: SoakRequest, allowedServices: SoakRecords['allowedServices']): readonly string[] {
  const violations: string[] = []
  if (!request.isAllowed) {
    violations.push(`ROUTE: ${request.id} was executed with an API key that no configuration holds`)
  }
  // `UNASKED` covers everything that the client did not send in this form, including a forwarded API key and another account.
  const isUnchanged = execution.method === request.method && execution.path === request.path && execution.body === request.body
  if (!isUnchanged) violations.push(`UNASKED: ${request.id} reached the upstream with another method, path or body`)
  if (execution.hasKey) violations.push(`UNASKED: the API key of ${request.id} was forwarded to the upstream`)
  if (execution.account !== expectedAccount) violations.push(`UNASKED: ${request.id} was executed for the account ${execution.account} instead of ${expectedAccount}`)
  // Written as a negation so that a missing or non-numeric value (NaN) is a violation, too.
  if (!(execution.timeLeftMs <= request.timeoutMs + soakConstants.timeLeftSlackMs)) {
    violations.push(`BUDGET: ${request.id} was forwarded with ${execution.timeLeftMs} ms left of ${request.timeoutMs} ms`)
  }
  const prefix = `/${request.path.split('/')[1]}/`
  if (allowedServices.get(prefix)?.has(execution.service) !== true) {
    violations.push(`ROUTE: ${request.id} was executed at ${execution.service}, which no configuration allows for ${prefix}`)
  }
  return violations
}
