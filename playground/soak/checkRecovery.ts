import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Requests are served again once the faults have ended. */
export function checkRecovery ({ requests, endedAtMs }: SoakRecords): readonly string[] {
  const last = requests.filter(request => request.sentAtMs >= endedAtMs - soakConstants.recoveredMs)
  const served = last.filter(request => request.status === 200 && request.isWhole).length
  if (last.length > 0 && served >= last.length * soakConstants.leastRecoveredShare) return []
  return [`RECOVER: ${served} of the last ${last.length} requests were served`]
}
