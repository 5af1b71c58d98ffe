import type { AnswerEnd } from '../requests/answerEnd.js'
import type { AnswerLog } from '../requests/answerLog.js'

/** Builds the JSON body for a completed request that was not streamed. */
export function buildResultBody (requestId: string, log: AnswerLog, end: Extract<AnswerEnd, { kind: 'done' }>) {
  const text = end.tokenCount > 0 ? log.buildText() : undefined
  return { requestId, status: 'completed', result: end.result, text }
}
