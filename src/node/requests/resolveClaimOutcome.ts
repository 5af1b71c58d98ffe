import type { ClaimOutcome } from '../../types/claimOutcome.js'
import type { AnswerEnd } from './answerEnd.js'
import { parseAnswerEnd } from './parseAnswerEnd.js'

/** The answer that a recorded outcome stands for. A claim that could not be confirmed is recorded as not run, without an answer. */
export function resolveClaimOutcome (outcome: ClaimOutcome): AnswerEnd {
  if (outcome.ran !== 'not_run' || outcome.body !== '') return parseAnswerEnd(outcome.body)
  return { kind: 'error', code: 'claim_unavailable', message: 'the call could not be claimed and was not sent', ran: 'not_run', httpStatus: outcome.status }
}
