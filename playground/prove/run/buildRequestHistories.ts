import type { RequestRecord } from '../../caller/requestRecord.js'
import type { ExampleDeployment } from '../../examples/exampleDeployment.js'
import type { RequestHistory } from '../history/requestHistory.js'

/**
 * Builds a history for each id of a request. Ids before the last one ended with a `not_run` refusal, or with an unknown
 * outcome when the caller retries those with a new id.
 */
export function buildRequestHistories (record: RequestRecord, example: ExampleDeployment): readonly RequestHistory[] {
  const kind = example.contracts.find(contract => contract.account === record.account)?.kinds[record.kind]
  const base = { account: record.account, kind: record.kind, atMostOnce: kind?.idempotent === false, startMs: record.sentAtMs, endMs: record.sentAtMs + record.latencyMs }
  return record.requestIds.map((requestId, index) => {
    const earlierRequestIds = record.requestIds.slice(0, index)
    if (index === record.requestIds.length - 1) return { ...base, requestId, earlierRequestIds, ...buildOutcome(record) }
    const ran = record.unknownOutcomeIds?.includes(requestId) ? 'unknown' : 'not_run'
    return { ...base, requestId, earlierRequestIds, outcome: 'refused', ran }
  })
}

function buildOutcome (record: RequestRecord): Pick<RequestHistory, 'outcome' | 'ran' | 'code' | 'contentFault'> {
  const { outcome, ran, code, violation } = record
  if (outcome === 'whole') return { outcome: 'answered' }
  if (outcome === 'wrong') return { outcome: 'answered', contentFault: violation ?? 'wrong answer' }
  if (code === 'caller_no_answer') return { outcome: 'lost' }
  return { outcome: 'refused', ran, code }
}
