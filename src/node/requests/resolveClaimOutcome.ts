import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { AnswerEnd } from './answerEnd.js'
import { parseAnswerEnd } from './parseAnswerEnd.js'

/**
 * Converts a recorded outcome into the end of an answer. Claims that could not be confirmed are recorded as not run,
 * with an empty body.
 */
export function resolveClaimOutcome (outcome: ClaimOutcome): AnswerEnd {
  if (outcome.ran !== 'not_run' || outcome.body !== '') return parseAnswerEnd(outcome.body)
  return { kind: 'error', code: 'claim_unavailable', message: 'the call could not be claimed and was not sent', ran: 'not_run', httpStatus: outcome.status }
}
