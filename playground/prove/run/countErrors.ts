import type { RequestRecord } from '../../caller/requestRecord.js'

/** Counts the requests without a complete, correct answer by kind, error code and the error's `ran` value. */
export function countErrors (records: readonly RequestRecord[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { outcome, kind, code, ran } of records) {
    if (outcome === 'whole') continue
    const name = `${kind} ${code ?? outcome} (${ran})`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return counts
}
