import type { RequestRecord } from '../caller/requestRecord.js'

/** Formats the counts of refused requests by kind and code in one line; empty if there are none. */
export function formatRefusals (records: readonly RequestRecord[]): string {
  const counts = new Map<string, number>()
  for (const record of records) {
    if (record.outcome !== 'refused') continue
    const name = `${record.kind} ${record.code ?? 'no code'}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].sort().map(([name, count]) => `${name} ${count}`).join(', ')
}
