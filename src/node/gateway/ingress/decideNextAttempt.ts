import { ingressConstants } from './constants.js'
import type { AttemptDecision } from './attemptDecision.js'
import type { AttemptResult } from './attemptResult.js'

interface DecisionOptions {
  readonly result: AttemptResult
  /** The request may run again after it has run. */
  readonly isRepeatable: boolean
  /** Upstreams that were sent the request, the last one included. */
  readonly sentCount: number
  /** Attempts that found no connection. */
  readonly unsentCount: number
  readonly maxAttempts: number
  readonly stageRuns: number
  readonly timeLeftMs: number
  /** Takes a second sending from the budget; false when it is used up. */
  readonly takeRetry: () => boolean
}

/** Statuses that promise that a request was not run; an upstream that ran it must not pass them on. */
const promisingStatuses: readonly number[] = [408, 421, 429, 503]

/**
 * Decides what follows an attempt. A request that may have run is sent again only when it is repeatable; the answer
 * to one that was not run says so.
 */
export function decideNextAttempt (options: DecisionOptions): AttemptDecision {
  const { result } = options
  switch (result.type) {
    case 'streamed':
    case 'cancelled': return { action: 'finish' }
    case 'not-run': return decideNotRun(options, result)
    case 'uncertain': return isRepeatAllowed(options) ? { action: 'send-again' } : { action: 'fail', reason: result.reason }
    case 'answer': return decideAnswer(options, result.head.status, result.head.isSigned)
  }
}

function decideNotRun (options: DecisionOptions, result: AttemptResult & { readonly type: 'not-run' }): AttemptDecision {
  const { sentCount, unsentCount, maxAttempts, timeLeftMs, takeRetry: takeRepeat, stageRuns } = options
  const hasTime = timeLeftMs >= ingressConstants.minRetryTimeMs
  if (result.areInputsGone) return hasTime && stageRuns < ingressConstants.maxStageRuns ? { action: 'run-stages-again' } : { action: 'refuse', reason: result.reason }
  // Without a connection no upstream was sent anything, so neither the attempts nor the budget count.
  if (!result.wasSent) return hasTime && unsentCount <= ingressConstants.maxUnsentAttempts ? { action: 'send-again' } : { action: 'refuse', reason: result.reason }
  return hasTime && sentCount < maxAttempts && takeRepeat() ? { action: 'send-again' } : { action: 'refuse', reason: result.reason }
}

function decideAnswer (options: DecisionOptions, status: number, isSigned: boolean): AttemptDecision {
  const isSuccess = status < 300
  if (isSuccess && isSigned) return { action: 'deliver' }
  const reason = isSuccess ? 'unsigned answer' : `upstream status ${status}`
  if ((status >= 500 || isSuccess || promisingStatuses.includes(status)) && isRepeatAllowed(options)) return { action: 'send-again' }
  if (isSuccess || promisingStatuses.includes(status)) return { action: 'fail', reason }
  return { action: 'deliver' }
}

function isRepeatAllowed ({ isRepeatable, sentCount, maxAttempts, timeLeftMs, takeRetry: takeRepeat }: DecisionOptions): boolean {
  return isRepeatable && sentCount < maxAttempts && timeLeftMs >= ingressConstants.minRetryTimeMs && takeRepeat()
}
