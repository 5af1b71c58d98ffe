import { createDisruptionIndex } from './createDisruptionIndex.js'
import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Checks, while all hosts are in touch, that upstreams of an evacuated failure domain get no request after the time allowed. */
export function checkEvacuations ({ requests, executions, disruptions, domains }: SoakRecords): readonly string[] {
  const { isInTouch } = createDisruptionIndex(disruptions)
  const evacuations = disruptions.filter(({ type }) => type === 'evacuation')
  const sent = new Map(requests.map(request => [request.id, request]))
  return executions.flatMap(({ requestId, upstreamId, atMs }) => {
    const domain = domains.get(upstreamId)
    const evacuation = evacuations.find(({ id, fromMs, toMs }) => id === domain && fromMs <= atMs && atMs < toMs)
    const lateMs = evacuation === undefined ? 0 : Math.round(atMs - evacuation.fromMs)
    const sentAtMs = sent.get(requestId)?.sentAtMs
    if (lateMs <= soakConstants.evacuationMs || sentAtMs === undefined || !isInTouch(sentAtMs, atMs)) return []
    return [`EVAC: ${requestId} reached ${upstreamId} in ${domain} ${lateMs} ms after its evacuation began`]
  })
}
