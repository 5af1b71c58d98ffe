import type { RequestRecord } from '../../caller/requestRecord.js'
import type { Invariant } from '../history/invariant.js'
import type { Violation } from '../history/violation.js'
import type { ScenarioSettings } from '../scenarioSettings.js'

/** Error codes of admission, deadlines and callers that give up. They are not failures of a tested mechanism. */
const allowedCodes = ['deadline_unreachable', 'deadline_exceeded', 'limit_reached', 'overloaded', 'caller_abandoned']

/** Checks the requirements of a scenario beyond the invariants. `isIdempotent` tells whether a request may be repeated. */
export function checkExpectations (settings: ScenarioSettings, records: readonly RequestRecord[], isIdempotent: (record: RequestRecord) => boolean): readonly Violation[] {
  const violations: Violation[] = []
  const add = (invariant: Invariant, record: RequestRecord, detail: string): void => {
    violations.push({ invariant, subject: `${record.account}/${record.requestIds.at(-1)}`, detail, trace: [formatRecord(record)] })
  }
  for (const record of records) {
    if (record.outcome === 'wrong') continue
    const isAllowed = record.outcome === 'whole' || allowedCodes.includes(record.code ?? '')
    if (settings.requiresIdempotentAnswers !== false && isIdempotent(record) && !isAllowed && record.code !== 'caller_no_answer') add('idempotent_requests_answered', record, `an idempotent request ended with ${record.code}`)
    if (settings.forbidsUnknownOutcomes && record.outcome !== 'whole' && record.ran !== 'not_run') add('no_unknown_without_fault', record, `ended with ${record.code}, ran ${record.ran}`)
    if (settings.forbidsStreamBreaks && record.restartCount + record.rejoinCount > 0) add('streams_not_cut', record, `${record.rejoinCount} rejoins, ${record.restartCount} restarts`)
    if (settings.forbidsInterruption && record.outcome !== 'whole') add('planned_stop_is_seamless', record, `ended with ${record.code}`)
    if (settings.forbidsInterruption && record.outcome === 'whole' && record.rejoinCount + record.retryCount + record.restartCount > 0) {
      const isCut = record.rejoinCount + record.restartCount > 0
      add('planned_stop_is_seamless', record, isCut ? `its connection broke or its answer was restarted (${record.rejoinCount} rejoins, ${record.restartCount} restarts)` : `refused (${record.retryCodes.join(', ')}) and sent again`)
    }
  }
  // The invariants hold trivially when almost nothing is answered, so at least a quarter of the requests must be.
  const whole = records.filter(record => record.outcome === 'whole').length
  if (whole * 4 < records.length) violations.push({ invariant: 'proof_is_meaningful', subject: 'load', detail: `only ${whole} of ${records.length} requests were answered`, trace: [] })
  return violations
}

function formatRecord (record: RequestRecord): string {
  const { kind, sentAtMs, latencyMs, addresses, code, message } = record
  return `${kind} sent at ${new Date(sentAtMs).toISOString()}, ended after ${Math.round(latencyMs)} ms, at ${addresses.join(', ')}: ${code ?? 'whole'} ${message ?? ''}`.trim()
}
