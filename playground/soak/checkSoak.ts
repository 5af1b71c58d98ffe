import { checkAnswers } from './checkAnswers.js'
import { checkRecovery } from './checkRecovery.js'
import { checkExecutions } from './checkExecutions.js'
import { checkStages } from './checkStages.js'
import { checkStreams } from './checkStreams.js'
import type { SoakRecords } from './soakRecords.js'

/** Broken promises of the platform's rules, one sentence each; empty when all were kept. */
export function checkSoak (records: SoakRecords): readonly string[] {
  return [checkAnswers, checkExecutions, checkStages, checkStreams, checkRecovery].flatMap(check => check(records))
}
