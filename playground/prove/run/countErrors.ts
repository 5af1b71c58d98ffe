import type { RequestRecord } from '../../caller/requestRecord.js'

/** Requests that were not answered whole, by kind, error code and what the error said about execution. */
export function countErrors (records: readonly RequestRecord[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { outcome, kind, code, ran } of records) {
    if (outcome === 'whole') continue
    const name = `${kind} ${code ?? outcome} (${ran})`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return counts
}
