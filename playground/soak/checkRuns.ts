import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'
import type { SoakRun } from './soakRun.js'

/** Upstreams run only what clients sent, unchanged, where a configuration allows it, and once where that is all that is allowed. */
export function checkRuns ({ requests, runs, allowedServices }: SoakRecords): readonly string[] {
  const sent = new Map(requests.map(request => [request.id, request]))
  const counts = new Map<string, number>()
  const faults: string[] = []
  for (const run of runs) {
    const request = sent.get(run.requestId)
    if (request === undefined) {
      faults.push(`UNASKED: ${run.upstreamId} ran ${run.requestId}, which no client sent`)
      continue
    }
    faults.push(...checkRun(run, request, allowedServices))
    const count = (counts.get(run.requestId) ?? 0) + 1
    counts.set(run.requestId, count)
    const mayRepeat = request.kind === 'safe' || request.kind === 'stream'
    if (count === 2 && !mayRepeat) faults.push(`TWICE: ${request.id} (${request.kind}) ran more than once`)
  }
  return faults
}

function checkRun (run: SoakRun, request: SoakRequest, allowedServices: SoakRecords['allowedServices']): readonly string[] {
  const faults: string[] = []
  const isUnchanged = run.method === request.method && run.path === request.path && run.body === request.body
  if (!isUnchanged) faults.push(`UNASKED: ${request.id} was changed on its way`)
  if (run.hasKey) faults.push(`UNASKED: the key of ${request.id} was passed on`)
  if (run.account !== 'account-1') faults.push(`UNASKED: ${request.id} ran for the account ${run.account}`)
  // A time left that is missing or no number breaks the rule as well.
  if (!(run.timeLeftMs <= request.timeoutMs + soakConstants.timeLeftSlackMs)) {
    faults.push(`BUDGET: ${request.id} was passed on with ${run.timeLeftMs} ms of ${request.timeoutMs}`)
  }
  const prefix = `/${request.path.split('/')[1]}/`
  if (allowedServices.get(prefix)?.has(run.service) !== true) {
    faults.push(`ROUTE: ${request.id} ran at ${run.service}, which no configuration allows for ${prefix}`)
  }
  return faults
}
