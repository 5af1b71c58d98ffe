import { checkAnswers } from './checkAnswers.js'
import { checkRecovery } from './checkRecovery.js'
import { checkExecutions } from './checkExecutions.js'
import { checkStages } from './checkStages.js'
import { checkStreams } from './checkStreams.js'
import type { SoakRecords } from './soakRecords.js'

/**
 * Returns the violations of the platform's rules, one message each; empty when there are none. A message begins with
 * the rule that was violated:
 *
 * - `UNASKED`: an upstream executed something that no client sent, or not as the client sent it.
 * - `TWICE`: a request that must not be repeated was executed more than once.
 * - `REFUSED`: a request was refused as not executed, but was executed.
 * - `MIXED`: an answer or a stage result belongs to another request, or differs from what the upstream sent.
 * - `ORDER`: a stream has missing, repeated or foreign events.
 * - `BUDGET`: an upstream was given more time than the client's remaining time.
 * - `ROUTE`: a request was executed at a service that no configuration allows.
 * - `RECOVER`: too few requests were served after the faults had ended.
 */
export function checkSoak (records: SoakRecords): readonly string[] {
  return [checkAnswers, checkExecutions, checkStages, checkStreams, checkRecovery].flatMap(check => check(records))
}
