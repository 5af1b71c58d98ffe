import type { RequestRecord } from '../caller/requestRecord.js'

interface ExecutionLine {
  readonly requestId?: string
  readonly operation?: string
}

/**
 * Compares the execution logs of the plain services with the outcomes that callers saw. A call that is not
 * idempotent must run at most once, not at all if all its ids were refused as `not_run`, and once if it was answered.
 */
export function listExecutionViolations (records: readonly RequestRecord[], executions: readonly ExecutionLine[]): readonly string[] {
  const counts = new Map<string, number>()
  for (const { requestId } of executions) if (requestId !== undefined) counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
  return records.flatMap(record => {
    const count = record.requestIds.reduce((sum, id) => sum + (counts.get(id) ?? 0), 0)
    const name = `${record.kind} ${record.requestIds.join(', ')} of ${record.account}`
    if (count > 1) return [`${name} ran ${count} times`]
    if (record.outcome === 'refused' && count > 0) return [`${name} was refused as not_run, but ran`]
    if (record.outcome === 'whole' && count === 0) return [`${name} was answered, but did not run`]
    return []
  })
}
