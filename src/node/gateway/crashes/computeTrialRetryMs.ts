import { crashConstants } from './constants.js'
import type { SuspectRefusal } from './suspectRefusal.js'

/** Retry-After of a refused request: the time until a request with the part may be sent again. */
export function computeTrialRetryMs ({ trialInMs }: SuspectRefusal): number {
  return Math.min(Math.max(trialInMs, crashConstants.settleMs), crashConstants.maxRetryAfterMs)
}
