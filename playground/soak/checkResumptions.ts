import { createDisruptionIndex } from './createDisruptionIndex.js'
import { listStreamEvents } from './listStreamEvents.js'
import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'
import type { SoakRequest } from './soakRequest.js'

const minResumptions = 12
const minServingEngines = 2
/** Share of the streams that begin, of which at least this part of those that are resumed have to go on. */
const minShareOfBegun = 0.5

/**
 * Checks that a stream holds events of one software version over the requests of its client, and that resumed streams go
 * on about as often as new ones begin, where hosts are in touch and engines of their version serve.
 */
export function checkResumptions (records: SoakRecords): readonly string[] {
  const { requests, disruptions, engines } = records
  const byId = new Map(requests.map(request => [request.id, request]))
  const { isInTouch } = createDisruptionIndex(disruptions)
  const isCounted = ({ host, sentAtMs, endedAtMs, hasLeft, isComplete }: SoakRequest): boolean => {
    return isInTouch(sentAtMs, endedAtMs, host) && (!hasLeft || isComplete)
  }
  const joined: string[] = []
  const resumed: SoakRequest[] = []
  for (const request of requests) {
    const origin = byId.get(request.resumedId ?? '')
    if (origin === undefined) continue
    const version = findVersion(origin)
    const nextVersion = findVersion(request)
    if (nextVersion !== undefined && nextVersion !== version) {
      joined.push(`ORDER: ${request.id} at ${request.host} goes on with ${origin.id} at ${nextVersion}, it began at ${version}`)
    }
    const serving = engines.filter(engine => engine.version === version && engine.leavesAtMs > request.endedAtMs &&
      engine.startedAtMs + soakConstants.configurationMs < request.sentAtMs)
    if (serving.length >= minServingEngines && isCounted(request)) resumed.push(request)
  }
  const fresh = requests.filter(request => request.kind === 'stream' && request.resumedId === undefined && isCounted(request))
  const wentOn = resumed.filter(hasEvents).length
  const begun = fresh.filter(hasEvents).length
  const isTooFew = resumed.length >= minResumptions && wentOn / resumed.length < minShareOfBegun * begun / fresh.length
  return isTooFew
    ? [...joined, `LOST: ${wentOn} of ${resumed.length} resumed streams went on, ${begun} of ${fresh.length} new ones began`]
    : joined
}

function findVersion ({ answer = '' }: SoakRequest): string | undefined {
  return listStreamEvents(answer)[0]?.version
}

function hasEvents ({ status, answer = '' }: SoakRequest): boolean {
  return status === 200 && listStreamEvents(answer).length > 0
}
