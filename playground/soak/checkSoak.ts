import { checkAnswers } from './checkAnswers.js'
import { checkLosses } from './checkLosses.js'
import { checkProcesses } from './checkProcesses.js'
import { checkEvacuations } from './checkEvacuations.js'
import { checkPouring } from './checkPouring.js'
import { checkPropagation } from './checkPropagation.js'
import { checkRecovery } from './checkRecovery.js'
import { checkRefusals } from './checkRefusals.js'
import { checkExecutions } from './checkExecutions.js'
import { checkResumptions } from './checkResumptions.js'
import { checkStages } from './checkStages.js'
import { checkStreams } from './checkStreams.js'
import type { SoakRecords } from './soakRecords.js'

const checks = [
  checkProcesses,
  checkLosses,
  checkAnswers,
  checkRefusals,
  checkExecutions,
  checkStages,
  checkStreams,
  checkResumptions,
  checkEvacuations,
  checkPouring,
  checkPropagation,
  checkRecovery
]

/**
 * Returns the violations of the platform's rules, one message each; empty when there are none. A message begins with
 * the rule that was violated:
 *
 * - `UNASKED`: an upstream executed something that no client sent, or not as the client sent it.
 * - `TWICE`: a request that must not be repeated was executed more than once.
 * - `REFUSED`: a request was refused as not executed, but was executed.
 * - `MIXED`: an answer or a stage result belongs to another request, or differs from what the upstream sent.
 * - `ORDER`: a stream has missing, repeated or foreign events, or events of two software versions.
 * - `BUDGET`: an upstream was given more time than the client's remaining time.
 * - `ROUTE`: a request was executed at a service that no configuration allows.
 * - `DENIED`: requests that every configuration allows were refused for good.
 * - `FAULT`: a process ended by itself or by a signal that it must handle, took too much memory or was not ready.
 * - `LOST`: a host closed the connection of a request that has no complete answer, or resumed streams do not go on.
 * - `CONFIG`, `DRAIN`, `GONE`: a configuration, the leaving of an upstream or of a client took effect too late.
 * - `RECOVER`: too few requests were served after the faults had ended.
 */
export function checkSoak (records: SoakRecords): readonly string[] {
  return checks.flatMap(check => check(records))
}
