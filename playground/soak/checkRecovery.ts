import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Requests are served again once the faults have ended. */
export function checkRecovery ({ requests, endedAtMs }: SoakRecords): readonly string[] {
  const last = requests.filter(request => request.sentAtMs >= endedAtMs - soakConstants.recoveryWindowMs)
  const served = last.filter(request => request.status === 200 && request.isComplete).length
  if (last.length > 0 && served >= last.length * soakConstants.minRecoveredShare) return []
  return [`RECOVER: ${served} of the last ${last.length} requests were served`]
}
