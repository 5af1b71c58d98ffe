import { z } from 'zod'

const count = z.number().min(0)
const counts = z.object({ total: count, missed: count, excluded: count })
const reportCounts = counts.extend({ attainment: z.number().nullable(), burnRate: z.number().nullable() })
const causes = z.array(z.object({ label: z.string(), count }))
const snapshotEntry = z.object({
  account: z.string(),
  kind: z.string(),
  objective: z.object({ attainment: z.number(), latencyMs: z.number() }).nullable(),
  windows: z.object({ '5m': counts, '1h': counts, '6h': counts }),
  causes: z.object({ codes: causes, stages: causes, upstreams: causes }),
  points: z.array(z.object({ atMs: z.number(), total: count, missed: count }))
})
const reportEntry = snapshotEntry.extend({
  windows: z.object({ '5m': reportCounts, '1h': reportCounts, '6h': reportCounts }),
  budgetLeft: z.number().nullable()
})

/** Schemas of the JSON that hosts exchange (`snapshot`) and that the administration API returns (`report`). */
export const burnSchemas = {
  snapshot: z.object({ atMs: z.number(), hostIds: z.array(z.string()), entries: z.array(snapshotEntry), omittedEntries: count }),
  report: z.object({
    atMs: z.number(),
    hostIds: z.array(z.string()),
    missingHostIds: z.array(z.string()),
    entries: z.array(reportEntry),
    omittedEntries: count
  })
}
