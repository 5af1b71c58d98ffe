import { soakConstants } from './constants.js'
import type { SoakRecords } from './soakRecords.js'

/** Checks that enough requests are served again after the last fault has ended. */
export function checkRecovery ({ requests, endedAtMs }: SoakRecords): readonly string[] {
  const lastRequests = requests.filter(request => request.sentAtMs >= endedAtMs - soakConstants.recoveryWindowMs)
  const served = lastRequests.filter(request => request.status === 200 && request.isComplete).length
  if (lastRequests.length > 0 && served >= lastRequests.length * soakConstants.minRecoveredShare) return []
  return [`RECOVER: ${served} of the last ${lastRequests.length} requests were served, at least ${soakConstants.minRecoveredShare * 100}% are required`]
}
