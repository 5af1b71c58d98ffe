import { ingressConstants } from './constants.js'
import { rejectionStatuses } from '../model/rejectionStatuses.js'
import type { AttemptDecision } from './attemptDecision.js'
import type { AttemptResult } from './attemptResult.js'

interface DecisionOptions {
  readonly result: AttemptResult
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean
  /** Attempts that sent the request, including the last one. */
  readonly sentCount: number
  /** Attempts that got no connection. */
  readonly unsentCount: number
  readonly maxAttempts: number
  readonly stageRuns: number
  readonly timeLeftMs: number
  /** Whether a rejected request must not be sent to another upstream, because places at all of them are rationed. */
  readonly isRationed: boolean
  /** Takes one retry from the budget; false when the budget is used up. */
  readonly takeRetry: () => boolean
}

/**
 * Statuses that tell a client that its request was not run; they must not be forwarded from an upstream that may have
 * run it.
 */
const impliedNotRunStatuses: readonly number[] = [408, 421, 429, 503]

/**
 * Decides what to do after an attempt. A request that may have run is retried only when it is repeatable; the response
 * to one that was not run says so.
 */
export function decideNextAttempt (options: DecisionOptions): AttemptDecision {
  const { result } = options
  switch (result.type) {
    case 'streamed':
    case 'cancelled': return { action: 'finish' }
    case 'not-run': return decideNotRun(options, result)
    case 'uncertain': {
      return isRetryAllowed(options) ? { action: 'send-again' } : { action: 'fail', reason: result.reason }
    }
    case 'answer': return decideAnswer(options, result.head.status, result.head.isSigned)
  }
}

function decideNotRun (
  options: DecisionOptions,
  result: AttemptResult & { readonly type: 'not-run' }
): AttemptDecision {
  const { sentCount, unsentCount, maxAttempts, timeLeftMs, takeRetry, stageRuns, isRationed } = options
  const hasTime = timeLeftMs >= ingressConstants.minRetryTimeMs
  const refusal: AttemptDecision = { action: 'refuse', reason: result.reason }
  if (result.areInputsGone) {
    return hasTime && stageRuns < ingressConstants.maxStageRuns ? { action: 'run-stages-again' } : refusal
  }
  // Without a connection nothing was sent, so neither the attempt limit nor the retry budget applies.
  if (!result.wasSent) {
    return hasTime && unsentCount <= ingressConstants.maxUnsentAttempts ? { action: 'send-again' } : refusal
  }
  const mayGoOn = hasTime && !isRationed && sentCount < maxAttempts
  return mayGoOn && takeRetry() ? { action: 'send-again' } : refusal
}

function decideAnswer (options: DecisionOptions, status: number, isSigned: boolean): AttemptDecision {
  const isSuccess = status < 300
  if (isSuccess && isSigned) return { action: 'deliver' }
  const reason = isSuccess ? 'unsigned answer' : `upstream status ${status}`
  const isRejection = options.isRationed && rejectionStatuses.has(status)
  const isRetried = !isRejection && (status >= 500 || isSuccess || impliedNotRunStatuses.includes(status))
  if (isRetried && isRetryAllowed(options)) return { action: 'send-again' }
  if (isSuccess || impliedNotRunStatuses.includes(status)) return { action: 'fail', reason }
  return { action: 'deliver' }
}

function isRetryAllowed ({ isRepeatable, sentCount, maxAttempts, timeLeftMs, takeRetry }: DecisionOptions): boolean {
  return isRepeatable && sentCount < maxAttempts && timeLeftMs >= ingressConstants.minRetryTimeMs && takeRetry()
}
