import type { AdmissionRequest } from '../../types/admissionRequest.js'
import { requestConstants } from './constants.js'
import type { Submission } from './submission.js'
import type { TokenModel } from './tokenModel.js'

/**
 * Builds the admission request of a submission, with its token count predicted from earlier requests of the same
 * kind.
 */
export function buildAdmissionRequest (submission: Submission, tokens: TokenModel): AdmissionRequest {
  const { account, requestId, kind, spec, deadlineMs } = submission
  const predicted = spec.stages
    .filter(stage => stage.operation === 'generate')
    .map(stage => tokens.computeExpectedTokens(`${account}/${kind}/${stage.name}`, stage.maxTokens ?? requestConstants.defaultMaxTokens))
  return {
    requestId,
    account,
    kind,
    stages: spec.stages,
    priority: spec.priority,
    idempotent: spec.idempotent,
    remainingMs: deadlineMs,
    tokens: predicted.reduce((sum, count) => sum + count, 0)
  }
}
